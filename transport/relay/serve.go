// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/attempt"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

// maxOpenTimeout limits the timeout that a peer may set.
const maxOpenTimeout = time.Hour

// ServePeer runs a request from another VM at an upstream of this VM, or refuses
// it. It returns once the exchange has ended.
func (e *Engine) ServePeer(ctx context.Context, from peer.Identity, s *peer.Stream, open *peerpb.Open) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := parseOpen(open)
	if err != nil {
		failure := outcome.New(outcome.CodeBadRequest, outcome.NotRun, "parse request", e.cfg.Self.VM, err)
		writeRefusal(s, e.RefuseWithTicket(peer.DecodeHeader(open.GetHeaders()).Get(outcome.HeaderTicket), failure))
		return
	}
	body := peer.NewRequestBody(s, cancel)
	defer body.Stop()
	if open.GetOwn() {
		e.serveForwarded(ctx, r, s, body, open)
		return
	}
	slot, failure := e.reserveForPeer(ctx, from, open)
	if failure != nil {
		e.cfg.Metrics.Refused("peer-" + string(failure.Code()))
		writeRefusal(s, failure)
		return
	}
	defer slot.Release(capacity.ResultUnused)
	if !open.GetEager() {
		if err := s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Accepted{Accepted: &peerpb.Accepted{}}}); err != nil {
			return
		}
	}
	body.Start()
	res := e.runOnSlot(ctx, slot, r.upstreamRequestForPeer(body, open), &streamSink{stream: s})
	writeEnd(s, res.failure)
}

// serveForwarded serves a request as if the caller had sent it to this VM.
func (e *Engine) serveForwarded(ctx context.Context, r *Request, s *peer.Stream, body *peer.RequestBody, open *peerpb.Open) {
	if !open.GetEager() {
		if err := s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Accepted{Accepted: &peerpb.Accepted{}}}); err != nil {
			return
		}
	}
	body.Start()
	var err error
	r.Body, err = NewBody(body, open.GetLength())
	if err != nil {
		failure := outcome.New(outcome.CodeBroken, outcome.NotRun, "read body", e.cfg.Self.VM, err)
		writeRefusal(s, e.RefuseWithTicket(r.Header.Get(outcome.HeaderTicket), failure))
		return
	}
	r.Ticket = r.Header.Get(outcome.HeaderTicket)
	r.Header = EndToEndHeader(r.Header)
	if ticket, err := attempt.ParseTicket(r.Ticket); err != nil || ticket.VM() != e.cfg.Self.VM {
		writeRefusal(s, outcome.New(outcome.CodeTicketRefused, outcome.Unknown, "check ticket", e.cfg.Self.VM,
			errors.New("the ticket does not name this VM")))
		return
	}
	writeEnd(s, e.Serve(ctx, e.NextID(), r, &streamSink{stream: s}))
}

func writeEnd(s *peer.Stream, failure *outcome.Failure) {
	if failure != nil {
		writeRefusal(s, failure)
		return
	}
	_ = s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_End{End: &peerpb.End{}}})
}

// reserveForPeer reserves a slot for another VM: under its grant if it is in
// another hall, else from the free slots.
func (e *Engine) reserveForPeer(ctx context.Context, from peer.Identity, open *peerpb.Open) (*capacity.Slot, *outcome.Failure) {
	fail := func(code outcome.Code, err error) (*capacity.Slot, *outcome.Failure) {
		return nil, outcome.New(code, outcome.NotRun, "reserve a slot", e.cfg.Self.VM, err).WithRetryAfter(fullRetryAfter)
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
	if err := peer.CheckRequestLine(open.GetMethod(), string(open.GetTarget()), open.GetHost()); err != nil {
		return nil, err
	}
	client, err := netip.ParseAddr(open.GetClient())
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	if open.GetLength() < -1 {
		return nil, errors.Newf("length %d", open.GetLength())
	}
	return &Request{
		Service: open.GetService(), Method: open.GetMethod(), Target: string(open.GetTarget()), Host: open.GetHost(),
		Header: peer.DecodeHeader(open.GetHeaders()), Client: client, Timeout: openTimeout(open),
		id: open.GetId(), once: open.GetOnce(), deadline: time.Now().Add(openTimeout(open)),
	}, nil
}

func (r *Request) upstreamRequestForPeer(body *peer.RequestBody, open *peerpb.Open) *upstream.Request {
	left := max(r.remaining(time.Now()), time.Millisecond)
	header := EndToEndHeader(r.Header)
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

func writeRefusal(s *peer.Stream, f *outcome.Failure) {
	message := string(f.Code())
	if cause := f.Unwrap(); cause != nil {
		message = cause.Error()
	}
	s.SetWriteDeadline(time.Now().Add(peer.ProgressTimeout))
	_ = s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Refused{Refused: &peerpb.Refused{
		Code: string(f.Code()), NotRun: f.Run() == outcome.NotRun, Step: f.Step(), Peer: f.Peer(),
		Message: message, RetryAfterMillis: uint32(f.RetryAfter().Milliseconds()),
	}}})
}

// streamSink sends a response to the VM that opened the stream.
type streamSink struct{ stream *peer.Stream }

// Head implements Sink.
func (s *streamSink) Head(status int, header http.Header, length int64) error {
	s.stream.SetWriteDeadline(time.Now().Add(peer.ProgressTimeout))
	return s.stream.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Head{Head: &peerpb.Head{
		Status: uint32(status), Headers: peer.EncodeHeader(header), Length: length,
	}}})
}

// Write implements io.Writer.
func (s *streamSink) Write(p []byte) (int, error) {
	return peer.NewChunkWriter(s.stream, nil).Write(p)
}
