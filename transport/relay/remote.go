// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/transport/peer"
)

// responseGrace is how long after the deadline the receiver of a request
// may still report its outcome.
const responseGrace = 250 * time.Millisecond

// tryHall runs a request in another hall under a grant.
func (e *Engine) tryHall(ctx context.Context, r *Request, to hallRoute, sink Sink) result {
	defer to.use.Done()
	grant := to.use.Grant()
	res := e.tryPeer(ctx, r, grant.Lender, &peerpb.Open{Grant: grant.ID}, to.hall, sink)
	if !res.notRun() {
		return res
	}
	// The request certainly did not run there, so it does not count as moved.
	if to.refund != nil {
		to.refund()
	}
	e.cfg.Holder.ExpireGrants(capacity.Source{Service: r.Service, Hall: to.hall}, grant.Lender)
	return res
}

// tryNeighbor runs a request at an upstream of another VM of this hall.
func (e *Engine) tryNeighbor(ctx context.Context, r *Request, vm string, wait bool, sink Sink) result {
	res := e.tryPeer(ctx, r, vm, &peerpb.Open{Wait: wait}, "", sink)
	if res.notRun() {
		e.cfg.Neighbors.MarkFull(r.Service, vm)
	}
	if wait && res.cause == retry.CauseRefused {
		res.cause = retry.CauseFull // The request has already waited there.
	}
	return res
}

// peerExchange is one request that is forwarded to another VM.
type peerExchange struct {
	engine *Engine
	ctx    context.Context
	req    *Request
	stream *peer.Stream
	vm     string
	hall   string // for the link's bandwidth limit; "" within a hall
	sink   Sink
	res    result
}

func (e *Engine) tryPeer(ctx context.Context, r *Request, vm string, open *peerpb.Open, hall string, sink Sink) result {
	member, ok := e.cfg.Members.Member(vm)
	if !ok {
		return failedAttempt(retry.CauseUnreachable, outcome.New(outcome.CodePeer, outcome.NotRun, "find VM", vm, errors.New("unknown VM")))
	}
	r.fillOpen(open, time.Now())
	stream, err := e.cfg.Peers.Open(ctx, peer.Target{VM: vm, Address: member.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Open{Open: open}})
	if err != nil {
		run := outcome.Unknown
		if errors.Is(err, peer.ErrUnreachable) {
			run = outcome.NotRun
		}
		return failedAttempt(retry.CauseUnreachable, outcome.New(outcome.CodePeer, run, "open stream", vm, err))
	}
	defer stream.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := stream.CloseOnDone(ctx)
	defer stop()
	m := &peerExchange{res: result{target: "VM " + vm}, engine: e, ctx: ctx, req: r, stream: stream, vm: vm, hall: hall, sink: sink}
	if open.GetEager() {
		m.sendBody()
	}
	m.readResponse()
	return m.res
}

// fillOpen sets the fields of an Open that describe the request.
func (r *Request) fillOpen(o *peerpb.Open, now time.Time) {
	o.Id = r.id
	o.Service = r.Service
	o.Method = r.Method
	o.Target = []byte(r.Target)
	o.Host = r.Host
	o.Headers = peer.EncodeHeader(r.Header)
	o.Length = r.Body.length
	o.TimeoutMillis = uint32(max(r.remaining(now).Milliseconds(), 1))
	o.Eager = r.Body.buffered
	o.Client = r.Client.String()
	o.Once = r.once
}

// sendBody sends the body and its end. If it fails, the reader reports the error.
func (m *peerExchange) sendBody() {
	body := m.req.Body.Reader()
	if body != nil {
		if _, err := peer.CopyBody(peer.NewChunkWriter(m.stream, m.waitForLink), body); err != nil {
			m.stream.Close()
			return
		}
	}
	_ = m.stream.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_End{End: &peerpb.End{}}})
	// The response to a streamed body is due peer.ProgressTimeout after the body
	// was sent, however long that took.
	due := m.req.deadline
	if !m.req.Body.buffered {
		due = time.Now().Add(peer.ProgressTimeout)
	}
	m.stream.SetReadDeadline(due.Add(responseGrace))
}

func (m *peerExchange) waitForLink(bytes int) error {
	if m.hall == "" {
		return nil
	}
	return m.engine.cfg.Links.Wait(m.ctx, m.hall, bytes)
}

func (m *peerExchange) readResponse() {
	for {
		e, err := m.stream.Read()
		if err != nil {
			m.failExchange("read answer", err)
			return
		}
		done, err := m.handleMessage(e)
		if err != nil {
			m.failExchange("pass on the answer", err)
			return
		}
		if done {
			return
		}
	}
}

// handleMessage handles one message of the receiver and reports whether it was
// the last one.
func (m *peerExchange) handleMessage(e *peerpb.Envelope) (done bool, err error) {
	switch k := e.GetKind().(type) {
	case *peerpb.Envelope_Accepted:
		go m.sendBody()
	case *peerpb.Envelope_Head:
		if m.res.headSent {
			return true, errors.New("second head")
		}
		m.res.headSent = true
		m.res.status = int(k.Head.GetStatus())
		m.stream.SetReadDeadline(time.Now().Add(peer.ProgressTimeout))
		return false, m.sink.Head(m.res.status, peer.DecodeHeader(k.Head.GetHeaders()), k.Head.GetLength())
	case *peerpb.Envelope_Chunk:
		if !m.res.headSent {
			return true, errors.New("body before head")
		}
		m.stream.SetReadDeadline(time.Now().Add(peer.ProgressTimeout))
		if err := m.waitForLink(len(k.Chunk.GetData())); err != nil {
			return true, err
		}
		n, err := m.sink.Write(k.Chunk.GetData())
		m.res.bytes += int64(n)
		return false, err
	case *peerpb.Envelope_End:
		if !m.res.headSent {
			return true, errors.New("end before head")
		}
		return true, nil
	case *peerpb.Envelope_Refused:
		m.handleRefusal(k.Refused)
		return true, nil
	default:
		return true, errors.Newf("unexpected message %T", k)
	}
	return false, nil
}

func (m *peerExchange) handleRefusal(r *peerpb.Refused) {
	run := outcome.Unknown
	if r.GetNotRun() && !m.res.headSent {
		run = outcome.NotRun
	}
	at := m.vm
	if r.GetPeer() != "" {
		at += "/" + r.GetPeer()
	}
	m.res.reportedByPeer = true
	m.res.cause = retry.CauseRefused
	if run != outcome.NotRun {
		m.res.cause = retry.CauseBroken
	}
	f := outcome.New(outcome.Code(r.GetCode()), run, r.GetStep(), at, errors.New(r.GetMessage()))
	m.res.failure = f.WithRetryAfter(time.Duration(r.GetRetryAfterMillis()) * time.Millisecond)
}

// failExchange sets the result after a stream failure. The first message was
// sent, so an upstream may have run the request, unless the receiver has
// rejected the stream.
func (m *peerExchange) failExchange(step string, err error) {
	if errors.Is(err, peer.ErrRejected) && !m.res.headSent {
		m.res.cause = retry.CauseUnreachable
		m.res.failure = outcome.New(outcome.CodePeer, outcome.NotRun, step, m.vm, err)
		return
	}
	code := outcome.CodeBroken
	if m.req.deadlineExceeded(m.ctx, time.Now()) {
		code = outcome.CodeDeadline
	}
	m.res.cause = retry.CauseBroken
	m.res.failure = outcome.New(code, outcome.Unknown, step, m.vm, err)
}
