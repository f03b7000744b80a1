// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/attempt"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

// maxOpenTimeout bounds what a peer may ask for, in case its message is wrong.
const maxOpenTimeout = time.Hour

// ServePeer runs a request that another VM opened on a stream, at an own
// upstream, or refuses it. It returns once the exchange has ended.
func (e *Engine) ServePeer(ctx context.Context, from peer.Identity, s *peer.Stream, open *peerpb.Open) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := parseOpen(open)
	if err != nil {
		failure := outcome.New(outcome.CodeBadRequest, outcome.NotRun, "parse request", e.cfg.Self.VM, err)
		refuse(s, e.Refuse(fromHeaders(open.GetHeaders()).Get(outcome.HeaderTicket), failure))
		return
	}
	body := newStreamBody(s, cancel)
	defer body.stop()
	if open.GetOwn() {
		e.serveOwn(ctx, r, s, body, open)
		return
	}
	slot, failure := e.reserveFor(ctx, from, open)
	if failure != nil {
		e.cfg.Metrics.Refused("peer-" + string(failure.Code()))
		refuse(s, failure)
		return
	}
	defer slot.Release(capacity.ResultUnused)
	if !open.GetEager() {
		if err := s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Accepted{Accepted: &peerpb.Accepted{}}}); err != nil {
			return
		}
	}
	body.start()
	res := e.runAt(ctx, slot, r.upstreamRequestFrom(body, open), &streamSink{stream: s})
	finish(s, res.failure)
}

// serveOwn handles a request as if its caller had come to this VM.
func (e *Engine) serveOwn(ctx context.Context, r *Request, s *peer.Stream, body *streamBody, open *peerpb.Open) {
	if !open.GetEager() {
		if err := s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Accepted{Accepted: &peerpb.Accepted{}}}); err != nil {
			return
		}
	}
	body.start()
	var err error
	r.Body, err = NewBody(body, open.GetLength())
	if err != nil {
		failure := outcome.New(outcome.CodeBroken, outcome.NotRun, "read body", e.cfg.Self.VM, err)
		refuse(s, e.Refuse(r.Header.Get(outcome.HeaderTicket), failure))
		return
	}
	r.Ticket = r.Header.Get(outcome.HeaderTicket)
	r.Header = CleanHeader(r.Header)
	if ticket, err := attempt.ParseTicket(r.Ticket); err != nil || ticket.VM() != e.cfg.Self.VM {
		refuse(s, outcome.New(outcome.CodeTicketRefused, outcome.Unknown, "check ticket", e.cfg.Self.VM,
			errors.New("the ticket does not name this VM")))
		return
	}
	finish(s, e.Serve(ctx, e.NextID(), r, &streamSink{stream: s}))
}

func finish(s *peer.Stream, failure *outcome.Failure) {
	if failure != nil {
		refuse(s, failure)
		return
	}
	_ = s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_End{End: &peerpb.End{}}})
}

// reserveFor takes a slot for another VM: under its grant if it is of another
// hall, else from what is free.
func (e *Engine) reserveFor(ctx context.Context, from peer.Identity, open *peerpb.Open) (*capacity.Slot, *outcome.Failure) {
	fail := func(code outcome.Code, err error) (*capacity.Slot, *outcome.Failure) {
		return nil, outcome.New(code, outcome.NotRun, "reserve a slot", e.cfg.Self.VM, err).WithRetryAfter(retryAfterFull)
	}
	if _, ok := e.cfg.View().Service(open.GetService()); !ok {
		return fail(outcome.CodeUnknownService, errors.Newf("service %q is unknown", open.GetService()))
	}
	if e.stopping.Load() {
		return fail(outcome.CodeStopping, errors.New("this VM is stopping"))
	}
	pool := e.cfg.Pools.Get(open.GetService())
	var slot *capacity.Slot
	var err error
	switch {
	case open.GetGrant() != 0:
		slot, err = pool.Redeem(open.GetGrant())
	case from.Hall != e.cfg.Self.Hall:
		err = errors.Wrap(capacity.ErrUnknownGrant, "requests from other halls need one")
	case open.GetWait():
		wait, cancel := context.WithTimeout(ctx, min(e.cfg.QueueTime, openTimeout(open)))
		defer cancel()
		slot, err = pool.Reserve(wait)
	default:
		slot, err = pool.TryReserve()
	}
	switch {
	case errors.Is(err, capacity.ErrNoWorkers):
		return fail(outcome.CodeNoUpstream, err)
	case err != nil:
		return fail(outcome.CodeFull, err)
	}
	return slot, nil
}

func openTimeout(open *peerpb.Open) time.Duration {
	return min(time.Duration(open.GetTimeoutMillis())*time.Millisecond, maxOpenTimeout)
}

func parseOpen(open *peerpb.Open) (*Request, error) {
	if !validToken(open.GetMethod()) {
		return nil, errors.Newf("method %q", open.GetMethod())
	}
	target := open.GetTarget()
	if u, err := url.ParseRequestURI(target); err != nil || !strings.HasPrefix(target, "/") || u.Host != "" || strings.ContainsAny(target, " \r\n") {
		return nil, errors.Newf("target %q", target)
	}
	if strings.ContainsAny(open.GetHost(), " \r\n/") {
		return nil, errors.Newf("host %q", open.GetHost())
	}
	client, err := netip.ParseAddr(open.GetClient())
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	if open.GetLength() < -1 {
		return nil, errors.Newf("length %d", open.GetLength())
	}
	return &Request{
		Service: open.GetService(), Method: open.GetMethod(), Target: target, Host: open.GetHost(),
		Header: fromHeaders(open.GetHeaders()), Client: client, Timeout: openTimeout(open),
		id: open.GetId(), once: open.GetOnce(), deadline: time.Now().Add(openTimeout(open)),
	}, nil
}

func validToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		return (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') && c != '-'
	}) < 0
}

func (r *Request) upstreamRequestFrom(body *streamBody, open *peerpb.Open) *upstream.Request {
	left := max(r.remaining(time.Now()), time.Millisecond)
	header := CleanHeader(r.Header)
	header.Set(upstream.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	req := &upstream.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: header,
		Length: open.GetLength(), ResponseHeaderTimeout: left, AtMostOnce: r.once,
	}
	if open.GetLength() != 0 {
		req.Body = body
	}
	return req
}

func refuse(s *peer.Stream, f *outcome.Failure) {
	message := string(f.Code())
	if cause := f.Unwrap(); cause != nil {
		message = cause.Error()
	}
	s.SetWriteDeadline(time.Now().Add(progressTime))
	_ = s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Refused{Refused: &peerpb.Refused{
		Code: string(f.Code()), NotRun: f.Run() == outcome.NotRun, Step: f.Step(), Peer: f.Peer(),
		Message: message, RetryAfterMillis: uint32(f.RetryAfter().Milliseconds()),
	}}})
}

// streamSink passes an answer on to the VM that opened the stream.
type streamSink struct{ stream *peer.Stream }

// Head implements Sink.
func (s *streamSink) Head(status int, header http.Header, length int64) error {
	s.stream.SetWriteDeadline(time.Now().Add(progressTime))
	return s.stream.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Head{Head: &peerpb.Head{
		Status: uint32(status), Headers: toHeaders(header), Length: length,
	}}})
}

// Write implements io.Writer.
func (s *streamSink) Write(p []byte) (int, error) {
	w := chunkWriter{stream: s.stream, pace: func(int) error { return nil }}
	return w.Write(p)
}

// streamBody reads the body of a request from a stream. A pump goes on reading
// after the end of the body, so that it notices when the opener goes away.
type streamBody struct {
	stream *peer.Stream
	cancel context.CancelFunc
	reader *io.PipeReader
	writer *io.PipeWriter
	done   chan struct{}
	began  bool
}

func newStreamBody(s *peer.Stream, cancel context.CancelFunc) *streamBody {
	r, w := io.Pipe()
	return &streamBody{stream: s, cancel: cancel, reader: r, writer: w, done: make(chan struct{})}
}

func (b *streamBody) start() {
	b.began = true
	go b.pump()
}

// stop ends the pump; the stream is of no further use.
func (b *streamBody) stop() {
	_ = b.reader.CloseWithError(io.ErrClosedPipe)
	if b.began {
		b.stream.SetReadDeadline(time.Unix(1, 0))
		<-b.done
	}
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *streamBody) pump() {
	defer close(b.done)
	for {
		e, err := b.stream.Read()
		if err != nil {
			// Without an End the body is not whole.
			_ = b.writer.CloseWithError(io.ErrUnexpectedEOF)
			b.cancel()
			return
		}
		switch k := e.GetKind().(type) {
		case *peerpb.Envelope_Chunk:
			if _, err := b.writer.Write(k.Chunk.GetData()); err != nil {
				continue // Nobody reads on; watch for the end of the stream.
			}
		case *peerpb.Envelope_End:
			_ = b.writer.Close()
		default:
			_ = b.writer.CloseWithError(errors.Newf("unexpected message %T in a body", k))
		}
	}
}
