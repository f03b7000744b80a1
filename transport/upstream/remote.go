// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// RemoteResponse describes a response that another VM received from a worker.
type RemoteResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Body ends with io.EOF only if it is complete.
	Body io.ReadCloser
}

// NewRemoteResponse returns the response to a request that another VM has sent. Its
// connection counts as opened now, since it proves nothing about those of this VM.
func NewRemoteResponse(r RemoteResponse, now time.Time) *Response {
	return &Response{opened: now, status: r.Status, header: r.Header, length: r.Length, body: r.Body}
}

// OnClose calls f once the response is closed, and returns it.
func (r *Response) OnClose(f func()) *Response {
	r.body = &notifyingBody{ReadCloser: r.body, notify: sync.OnceFunc(f)}
	return r
}

// notifyingBody calls notify when it is closed.
type notifyingBody struct {
	io.ReadCloser
	notify func()
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	defer b.notify()
	return b.ReadCloser.Close()
}

// RemoteError describes an exchange with a worker that failed at another VM.
type RemoteError struct {
	// Kind is the text of the kind.
	Kind               string
	NotRun, PeerClosed bool
	Worker             string
	Cause              error
	// Status and Header are those of a refusal by the worker.
	Status int
	Header http.Header
}

// NewRemoteError returns the error of an exchange that failed at another VM. An unknown
// kind counts as KindBroken.
func NewRemoteError(r RemoteError) *Error {
	return &Error{
		kind: parseKind(r.Kind), notRun: r.NotRun, peerClosed: r.PeerClosed, step: "forwarded", worker: r.Worker,
		cause: r.Cause, status: r.Status, header: r.Header,
	}
}

// parseKind returns the kind with a text.
func parseKind(text string) Kind {
	for k := KindUnreachable; k <= KindWrongWorker; k++ {
		if k.String() == text {
			return k
		}
	}
	return KindBroken
}
