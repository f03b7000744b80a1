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
	"github.com/ryehill/ryehill/transport/pipeline"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Reasons of rejected or failed requests, as counted in metrics and logged.
const (
	reasonNoConfig       = "no-configuration"
	reasonNoRoute        = "no-route"
	reasonStopping       = "stopping"
	reasonRouteMoved     = "route-moved"
	reasonBodyTooLarge   = "body-too-large"
	reasonBodyReadError  = "body-broken"
	reasonUpstreamBroken = "broken"
	reasonTimeout        = "timeout"
	reasonClientClosed   = "client-left"
	reasonAnswered       = "answered"
	reasonLate           = "late"
	// reasonBusyCapacityElsewhere replaces placement.RefusalBusy if another worker
	// of the region, which does not hold the key, had a free slot.
	reasonBusyCapacityElsewhere = "busy-room-elsewhere"
)

const (
	// maxBufferedResponse is how many bytes of a response body are buffered before
	// the header is sent to the client. Up to then a failed attempt can be retried.
	maxBufferedResponse = 256 << 10
	// collectStep is how many bytes of a response body of unknown length are collected at a
	// time while requests behind it on its connection run.
	collectStep = 64 << 10
	// minRetryAfter and retryAfterJitter determine the Retry-After of a refused
	// request unless a worker has room only later. The jitter
	// spreads the retries of clients that were refused at the same time.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 150 * time.Millisecond
)

// forwardResponse copies a response to the client.
func (q *request) forwardResponse(res *upstream.Response) error {
	var buffered bytes.Buffer
	complete, err := q.bufferResponse(&buffered, res)
	if err != nil {
		return err
	}
	n := int64(buffered.Len())
	header := q.writer.Header()
	for name, values := range res.Header() {
		header[name] = values
	}
	closing := q.handler.stopping.Load()
	stripHopByHop(header)
	if closing {
		header.Set("Connection", "close")
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // Prevents net/http from adding a default.
		}
	}
	switch {
	case res.Length() >= 0:
		header.Set("Content-Length", strconv.FormatInt(res.Length(), 10))
	case complete && q.req.Method != http.MethodHead && bodyAllowed(res.Status()):
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	q.headSent, q.status = true, res.Status()
	q.writer.WriteHeader(res.Status())
	if _, err := q.writer.Write(buffered.Bytes()); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return nil //nolint:nilerr // The client has disconnected, which is no failure of the worker.
	}
	q.responseBytes = n
	if !complete {
		rest, err := io.Copy(q.writer, res.Body())
		q.responseBytes += rest
		if err != nil {
			return err
		}
	}
	q.handler.cfg.Metrics.Tried("answered")
	return nil
}

// bufferResponse reads the start of a response, and the whole of it while requests behind it on
// the connection of the client run, whose responses would be lost if this one broke off after it
// was sent in part. It reports whether the whole was read.
func (q *request) bufferResponse(buffered *bytes.Buffer, res *upstream.Response) (complete bool, err error) {
	n, err := io.Copy(buffered, io.LimitReader(res.Body(), maxBufferedResponse))
	if err != nil || n < maxBufferedResponse {
		return true, err
	}
	for {
		rest := int64(collectStep)
		if res.Length() >= 0 {
			rest = max(res.Length()-int64(buffered.Len()), 0)
		}
		if !pipeline.Collect(q.req.Context(), buffered.Len()+int(rest)) {
			return false, nil
		}
		// One byte more than the rest, since a body ends with io.EOF only if it is complete.
		n, err := io.Copy(buffered, io.LimitReader(res.Body(), rest+1))
		if err != nil || n <= rest {
			return true, err
		}
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse responds with 503 and Retry-After. It is used only if no worker has run the request.
func (q *request) refuse(reason string) {
	q.handler.cfg.Metrics.Refused(reason)
	q.recordOutcome(reason, http.StatusServiceUnavailable)
	after := max(minRetryAfter, q.retryAfter) + rand.N(retryAfterJitter)
	q.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	q.writeStatus(http.StatusServiceUnavailable)
}

func (q *request) refusePlacement(reason string, attemptNumber int) {
	if attemptNumber > 1 {
		reason += "-after-try"
	}
	if q.mayHaveRun {
		q.reject(http.StatusBadGateway, reason) // The request may have run, so 503 must not be sent.
		return
	}
	q.refuse(reason)
}

// reject responds with a status that does not say whether the request was run.
func (q *request) reject(status int, reason string) {
	q.handler.cfg.Metrics.Refused(reason)
	q.recordOutcome(reason, status)
	q.writeStatus(status)
}

func (q *request) writeStatus(status int) {
	q.writer.Header().Set("Content-Length", "0")
	q.writer.WriteHeader(status)
}

// respondFailed responds to a request whose last attempt failed.
func (q *request) respondFailed(ctx context.Context, f *failure, verdict retry.Decision) {
	switch {
	case q.req.Context().Err() != nil:
		q.abort(reasonClientClosed)
	case !q.mayHaveRun:
		q.refuse(string(f.cause) + "-" + string(verdict))
	case ctx.Err() != nil:
		q.reject(http.StatusGatewayTimeout, reasonTimeout)
	default:
		q.reject(http.StatusBadGateway, reasonUpstreamBroken)
	}
}

// abort closes the client's connection, so that a truncated response does not look complete.
func (q *request) abort(reason string) {
	q.handler.cfg.Metrics.Refused(reason)
	q.recordOutcome(reason, 0)
	panic(http.ErrAbortHandler)
}

func (q *request) rejectBody(err error) {
	if errors.Is(err, errTooLarge) {
		q.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
		return
	}
	q.addInput("body", err.Error())
	q.abort(reasonBodyReadError)
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
