// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/httpcheck"
)

// readHead reads the final response header. It skips informational responses and,
// up to a limit, late responses to earlier requests on the connection.
func (x *exchange) readHead() (*http.Response, error) {
	stale := 0
	received := x.conn.received
	received.left = x.client.cfg.MaxHeaderBytes
	defer func() { received.left = unbounded }()
	for {
		res, err := x.parseHead()
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				err = errClosed
			}
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if x.client.cfg.Dialect.MatchesRequest(x.req, res) {
			return res, nil
		}
		stale++
		received.left = unbounded // discardResponse has its own bound.
		if stale > maxStaleResponses || discardResponse(res) != nil {
			return nil, errWrongRequest
		}
		received.left = x.client.cfg.MaxHeaderBytes
	}
}

// parseHead reads one header, informational or final, and checks it.
func (x *exchange) parseHead() (*http.Response, error) {
	if err := x.conn.rejectEncodedHTTP10(); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.req.Method})
	if err != nil {
		return nil, err
	}
	if !res.ProtoAtLeast(1, 1) {
		res.Close = true // The reader that rejectEncodedHTTP10 sets serves one response.
	}
	return res, httpcheck.Head(res)
}

// http10 begins a response of a version that has no transfer encodings.
const http10 = "HTTP/1.0 "

var errEncodedHTTP10 = errors.New("HTTP/1.0 has no transfer encoding")

// rejectEncodedHTTP10 returns an error if the next header is one of HTTP/1.0 with a transfer encoding,
// which http.ReadResponse leaves out, so that the framing would count as the body.
func (c *conn) rejectEncodedHTTP10() error {
	start, err := c.reader.Peek(len(http10))
	if err != nil || string(start) != http10 {
		return err
	}
	var head []byte
	encoded, lineStart := false, 0
	for {
		part, err := c.reader.ReadSlice('\n')
		head = append(head, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		line := bytes.TrimSpace(head[lineStart:])
		if len(line) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		encoded = encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		lineStart = len(head)
	}
	if encoded {
		return errEncodedHTTP10
	}
	c.reader = bufio.NewReader(io.MultiReader(bytes.NewReader(head), c.reader))
	return nil
}

// maxStaleResponses limits the responses to other requests that are skipped in
// one exchange.
const maxStaleResponses = 2

// maxDiscard limits, in bytes, how much of an unwanted body is read to keep the
// connection.
const maxDiscard = 64 << 10

var errWrongRequest = errors.New("the response belongs to another request")

// discardResponse reads a response to its end. It fails if the body is
// close-delimited or too long.
func discardResponse(res *http.Response) error {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return errWrongRequest
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscard))
	switch {
	case err != nil:
		return err
	case n == maxDiscard:
		return errWrongRequest
	}
	return httpcheck.Fields(res.Trailer)
}
