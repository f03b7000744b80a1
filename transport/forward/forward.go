// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package forward carries requests of a VM that reaches no worker to a proxy, a VM that
// does, and their responses back.
//
// The VM that the client is connected to decides everything: whether the request is
// admitted, to which worker it goes, and whether it is sent again. The proxy makes one
// exchange with that worker. Each error says whether the worker certainly did not run the
// request, as those of package upstream do; if the stream breaks after the request was
// sent, that is not certain, unless the proxy has rejected the stream.
//
// # Usage
//
// At the isolated VM:
//
//	res, err := forward.Do(ctx, peers, target, forward.Request{ID: id, Worker: w, Exchange: req, Timeout: left})
//
// At the proxy, for the first message of a stream:
//
//	forward.Serve(ctx, stream, first, func(ctx context.Context, r forward.Request) (*upstream.Response, error) {
//		return upstreams.Do(ctx, r.Worker, r.Exchange)
//	})
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/httpcheck"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

const (
	// maxTimeout bounds the timeout that a peer may set.
	maxTimeout = time.Hour
	// openTimeout limits the opening of a session to a proxy, which takes two round trips.
	openTimeout = time.Second
)

// Request is a request to forward.
type Request struct {
	// ID is the id that the client gave the request.
	ID string
	// Worker is identified by ID and Start. A proxy uses the address that it knows.
	Worker upstream.Worker
	// Exchange is the request to the worker. Its Body is read once, to its end.
	Exchange *upstream.Request
	// Timeout is the time left until the deadline.
	Timeout time.Duration
	// Suspect identifies the request if the worker hangs up on it.
	Suspect Suspect
}

// Suspect identifies a request that may crash workers.
type Suspect struct {
	Fingerprint quarantine.Fingerprint
	TargetHash  uint64
	Subject     string
}

// Reason says why a proxy did not make the exchange.
type Reason = peerpb.ForwardFailed_Reason

// Error reports that a request got no response for a reason that is not the worker's.
type Error struct {
	proxy  string
	reason Reason
	// refused is set if the proxy refused the request for the reason.
	refused bool
	notRun  bool
	cause   error
}

// Refused returns the reason for which the proxy refused the request, if it did.
func (e *Error) Refused() (Reason, bool) { return e.reason, e.refused }

// NotRun reports whether no worker has run the request for certain.
func (e *Error) NotRun() bool { return e.notRun }

// Error implements error.
func (e *Error) Error() string {
	if e.refused {
		return "forward by way of " + e.proxy + ": refused: " + e.reason.String()
	}
	return "forward by way of " + e.proxy + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Opener opens streams to other VMs. Package peer provides it.
type Opener interface {
	Open(ctx context.Context, t peer.Target, first *peerpb.Envelope) (*peer.Stream, error)
}

// Do sends a request by way of a proxy and returns the response once its header has been
// read. Errors are of type *upstream.Error if the exchange between proxy and worker failed,
// and *Error otherwise. Canceling ctx at any time ends the exchange.
func Do(ctx context.Context, peers Opener, proxy peer.Target, r Request) (*upstream.Response, error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := peers.Open(openCtx, proxy, &peerpb.Envelope{Kind: &peerpb.Envelope_Forward{Forward: encode(r)}})
	if err != nil {
		return nil, &Error{proxy: proxy.VM, notRun: errors.Is(err, peer.ErrUnreachable), cause: errors.Wrap(err, "open stream")}
	}
	x := &exchange{stream: stream, proxy: proxy.VM, worker: r.Worker.ID, ctx: ctx}
	x.detach = stream.CloseOnDone(ctx)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		x.sendBody(r.Exchange.Body)
	}()
	head, err := x.readHead()
	if err != nil {
		x.close()
		if _, buffered := r.Exchange.Body.(io.Seeker); buffered {
			<-sent // The caller may send the body again.
		}
		return nil, err
	}
	return upstream.NewRemoteResponse(upstream.RemoteResponse{
		Status: head.status, Header: head.fields, Length: head.length, Body: x,
	}, time.Now()), nil //nolint:forbidigo // Marks the response as newer than any failure.
}

// encode returns the message that begins a forwarded request.
func encode(r Request) *peerpb.Forward {
	return &peerpb.Forward{
		Id: r.ID, Worker: r.Worker.ID, Start: r.Worker.Start,
		Method: r.Exchange.Method, Target: []byte(r.Exchange.Target), Host: r.Exchange.Host, Headers: peer.EncodeHeader(r.Exchange.Header),
		Length: r.Exchange.Length, HasBody: r.Exchange.Body != nil, Once: r.Exchange.AtMostOnce,
		TimeoutMillis: uint32(max(r.Timeout.Milliseconds(), 1)),
		Fingerprint:   r.Suspect.Fingerprint[:], TargetHash: r.Suspect.TargetHash, Subject: r.Suspect.Subject,
	}
}

// exchange is a forwarded request at the isolated VM, and the body of its response.
type exchange struct {
	ctx    context.Context
	stream *peer.Stream
	proxy  string
	worker string
	detach func() bool
	// unread is the rest of the last chunk.
	unread []byte
	ended  bool
}

// sendBody sends the request body. If that fails, the stream is closed, so that the proxy
// does not take the body for complete.
func (x *exchange) sendBody(body io.Reader) {
	if body == nil {
		return
	}
	_, err := peer.CopyBody(peer.NewChunkWriter(x.stream, nil), body)
	if err == nil {
		err = x.stream.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_End{End: &peerpb.End{}}})
	}
	if err != nil {
		x.stream.Close()
	}
}

// head is the valid header of a forwarded response.
type head struct {
	status int
	fields http.Header
	length int64
}

func newHead(m *peerpb.Head) (*head, error) {
	h := &head{status: int(m.GetStatus()), fields: peer.DecodeHeader(m.GetHeaders()), length: m.GetLength()}
	if err := httpcheck.Status(h.status); err != nil {
		return nil, err
	}
	return h, httpcheck.Fields(h.fields)
}

func (x *exchange) readHead() (*head, error) {
	e, err := x.stream.Read()
	if err != nil {
		if x.ctx.Err() != nil {
			err = x.ctx.Err()
		}
		return nil, &Error{proxy: x.proxy, notRun: errors.Is(err, peer.ErrRejected), cause: errors.Wrap(err, "read head")}
	}
	switch k := e.GetKind().(type) {
	case *peerpb.Envelope_Head:
		head, err := newHead(k.Head)
		if err != nil {
			return nil, &Error{proxy: x.proxy, cause: errors.Wrap(err, "read head")}
		}
		return head, nil
	case *peerpb.Envelope_ForwardFailed:
		return nil, x.failure(k.ForwardFailed)
	}
	return nil, &Error{proxy: x.proxy, cause: errors.Newf("unexpected message %T", e.GetKind())}
}

// failure returns the error for a reported failure.
func (x *exchange) failure(f *peerpb.ForwardFailed) error {
	if f.GetReason() != peerpb.ForwardFailed_EXCHANGE {
		return &Error{proxy: x.proxy, reason: f.GetReason(), refused: true, notRun: true, cause: errors.New(f.GetMessage())}
	}
	return upstream.NewRemoteError(upstream.RemoteError{
		Kind: f.GetKind(), NotRun: f.GetNotRun(), PeerClosed: f.GetPeerClosed(), Worker: x.worker,
		Cause: errors.Newf("by way of %s: %s", x.proxy, f.GetMessage()), Status: int(f.GetStatus()), Header: peer.DecodeHeader(f.GetHeaders()),
	})
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.unread) == 0 {
		if x.ended {
			return 0, io.EOF
		}
		x.stream.SetReadDeadline(time.Now().Add(peer.ProgressTimeout)) //nolint:forbidigo // The runtime counts by the steady clock.
		// The end of ctx also sets a deadline, which may have been replaced here.
		if err := x.ctx.Err(); err != nil {
			return 0, &Error{proxy: x.proxy, cause: errors.Wrap(err, "read body")}
		}
		e, err := x.stream.Read()
		if err != nil {
			return 0, &Error{proxy: x.proxy, cause: errors.Wrap(err, "read body")}
		}
		switch k := e.GetKind().(type) {
		case *peerpb.Envelope_Chunk:
			x.unread = k.Chunk.GetData()
		case *peerpb.Envelope_End:
			x.ended = true
		case *peerpb.Envelope_ForwardFailed:
			return 0, x.failure(k.ForwardFailed)
		default:
			return 0, &Error{proxy: x.proxy, cause: errors.Newf("unexpected message %T in a body", k)}
		}
	}
	n := copy(p, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

// Close implements io.Closer. It ends the exchange.
func (x *exchange) Close() error {
	x.close()
	return nil
}

func (x *exchange) close() {
	x.detach()
	x.stream.Close()
}
