// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package relay forwards requests from callers to upstreams, of this VM or of
// another one, and returns the responses.
//
// An Engine chooses a hall for a request with package steer, reserves a slot
// there, sends the request and streams the response. Package retry decides
// whether a failed attempt is followed by another. A request from another VM runs
// at an upstream of this VM or is refused; it is steered again only if it was
// sent here because its ticket names this VM.
//
// # Usage
//
//	engine := relay.New(relay.Config{...})
//	failure := engine.Serve(ctx, engine.NextID(), request, sink)
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/protocol/outcome"
)

// MaxBufferedBody is the largest body, in bytes, that is buffered so that it can
// be sent again in another attempt. Larger bodies are streamed.
const MaxBufferedBody = 64 << 10

// Request is one request of a caller.
type Request struct {
	Service string
	Method  string
	// Target is the path and query for the upstream.
	Target string
	Host   string
	Header http.Header
	Body   *Body
	Client netip.Addr
	// Ticket is the encoded ticket, or "".
	Ticket string
	// Timeout is the caller's limit for the time to the response head, or 0.
	Timeout time.Duration

	id       string
	once     bool
	deadline time.Time
}

// Body is the body of a request.
type Body struct {
	stream   io.Reader
	content  []byte
	buffered bool
	length   int64
	consumed bool
}

// NewBody wraps a body with its length in bytes, or -1 if unknown. It reads a
// body of a known length up to MaxBufferedBody at once and returns the reader's
// error.
func NewBody(in io.Reader, length int64) (*Body, error) {
	if in == nil || length == 0 {
		return &Body{buffered: true}, nil
	}
	if length < 0 || length > MaxBufferedBody {
		return &Body{stream: in, length: length}, nil
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(in, content); err != nil {
		return nil, err
	}
	return &Body{content: content, buffered: true, length: length}, nil
}

// Reader returns a reader of the body, or nil if it is empty. A body that is not
// buffered can be read only once.
func (b *Body) Reader() io.Reader {
	if b.buffered {
		if len(b.content) == 0 {
			return nil
		}
		return bytes.NewReader(b.content)
	}
	return &consumingReader{b}
}

// Consumed reports whether part of an unbuffered body has been read, so that it
// cannot be sent again.
func (b *Body) Consumed() bool { return b.consumed }

type consumingReader struct{ body *Body }

func (r *consumingReader) Read(p []byte) (int, error) {
	r.body.consumed = true
	return r.body.stream.Read(p)
}

// Sink receives the response to a request. Head is called at most once and before
// Write. If Serve fails after Head, the response must end as incomplete.
type Sink interface {
	Head(status int, header http.Header, length int64) error
	io.Writer
}

// result is the outcome of one attempt.
type result struct {
	failure *outcome.Failure // nil if the complete response was forwarded
	cause   retry.Cause
	// target is the worker or VM of the attempt.
	target   string
	headSent bool
	// reportedByPeer is set if the other VM itself reported the failure.
	reportedByPeer bool
	status         int
	bytes          int64
}

func (r result) notRun() bool { return r.failure != nil && r.failure.Run() == outcome.NotRun }

func failedAttempt(cause retry.Cause, f *outcome.Failure) result {
	return result{cause: cause, failure: f}
}

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndHeader returns a copy of a header without hop-by-hop fields, fields
// that Connection names, and ryehill's own fields.
func EndToEndHeader(h http.Header) http.Header {
	clean := make(http.Header, len(h))
	for name, values := range h {
		if strings.HasPrefix(name, outcome.HeaderPrefix) {
			continue
		}
		clean[name] = values
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			clean.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		clean.Del(name)
	}
	return clean
}

// remaining returns the time until the request's deadline.
func (r *Request) remaining(now time.Time) time.Duration { return r.deadline.Sub(now) }

func (r *Request) deadlineExceeded(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || !now.Before(r.deadline)
}
