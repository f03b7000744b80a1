// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Reasons of refusals, as counted in metrics and logged.
const (
	reasonNoConfig = "no-configuration"
	reasonNoRoute  = "no-route"
	reasonMoved    = "route-moved"
	reasonTooLarge = "body-too-large"
	reasonBody     = "body-broken"
	reasonBroken   = "broken"
	reasonTimeout  = "timeout"
	reasonLeft     = "client-left"
	reasonAnswered = "answered"
	reasonLate     = "late"
	// reasonBusyRoom is placement.RefusalBusy while another worker of the
	// region had a free slot, though it does not hold the key.
	reasonBusyRoom = "busy-room-elsewhere"
)

const (
	// bufferedAnswer is how many bytes of an answer are held before its head
	// is passed on. One that breaks off before can still be had elsewhere.
	bufferedAnswer = 256 << 10
	// comeBack and comeBackSpread say after what time a refused client may
	// come back, if no worker is known to be ready only later. The spread keeps
	// those refused together apart.
	comeBack       = 100 * time.Millisecond
	comeBackSpread = 150 * time.Millisecond
)

// passOn copies an answer to the client.
func (q *request) passOn(a *upstream.Answer) error {
	var held bytes.Buffer
	n, err := io.Copy(&held, io.LimitReader(a.Body(), bufferedAnswer))
	if err != nil {
		return err
	}
	whole := n < bufferedAnswer
	header := q.out.Header()
	for name, values := range a.Header() {
		header[name] = values
	}
	closing := q.handler.stopping.Load()
	stripHopByHop(header)
	if closing {
		header.Set("Connection", "close")
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // Else the server makes one up.
		}
	}
	switch {
	case a.Length() >= 0:
		header.Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	case whole && q.in.Method != http.MethodHead && bodyAllowed(a.Status()):
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	q.headSent, q.status = true, a.Status()
	q.out.WriteHeader(a.Status())
	if _, err := q.out.Write(held.Bytes()); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return nil //nolint:nilerr // The client is gone; the worker did its part.
	}
	q.answered = n
	if !whole {
		rest, err := io.Copy(q.out, a.Body())
		q.answered += rest
		if err != nil {
			return err
		}
	}
	q.handler.cfg.Metrics.Tried("answered")
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse answers that the request was not run and when to come back.
func (q *request) refuse(reason string) {
	q.handler.cfg.Metrics.Refused(reason)
	q.finish(reason, http.StatusServiceUnavailable)
	after := max(comeBack, q.wait) + rand.N(comeBackSpread)
	q.out.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	q.end(http.StatusServiceUnavailable)
}

func (q *request) refusePlacement(reason string, number int) {
	if number > 1 {
		reason += "-after-try"
	}
	if q.mayHaveRun {
		q.reject(http.StatusBadGateway, reason) // Promises nothing.
		return
	}
	q.refuse(reason)
}

// reject answers with a status that promises nothing.
func (q *request) reject(status int, reason string) {
	q.handler.cfg.Metrics.Refused(reason)
	q.finish(reason, status)
	q.end(status)
}

func (q *request) end(status int) {
	q.out.Header().Set("Content-Length", "0")
	q.out.WriteHeader(status)
}

// fail answers a request whose last try failed.
func (q *request) fail(ctx context.Context, f *failure, verdict retry.Decision) {
	switch {
	case q.in.Context().Err() != nil:
		q.abort(reasonLeft)
	case !q.mayHaveRun:
		q.refuse(string(f.cause) + "-" + string(verdict))
	case ctx.Err() != nil:
		q.reject(http.StatusGatewayTimeout, reasonTimeout)
	default:
		q.reject(http.StatusBadGateway, reasonBroken)
	}
}

// abort closes the client's connection, so that nothing looks whole.
func (q *request) abort(reason string) {
	q.handler.cfg.Metrics.Refused(reason)
	q.finish(reason, 0)
	panic(http.ErrAbortHandler)
}

func (q *request) badBody(err error) {
	if errors.Is(err, errTooLarge) {
		q.reject(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return
	}
	q.note("body", err.Error())
	q.abort(reasonBody)
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
