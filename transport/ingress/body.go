// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// bufferedBody is how many bytes of a body are held before a worker is chosen.
// A body that fits can be sent again and takes up no worker while it arrives.
const bufferedBody = 1 << 20

// errTooLarge reports a body beyond the configured limit.
var errTooLarge = errors.New("ingress: the body is too large")

// body is the body of a client's request.
type body struct {
	held []byte
	// rest is what did not fit, or nil. It can be read once.
	rest io.Reader
	// length in bytes, or -1 if unknown.
	length int64
	none   bool
	gone   bool
}

// readBody reads a body up to what is held of it. A limit of 0 is none.
func readBody(r *http.Request, limit int64) (*body, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, errTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{none: true}, nil
	}
	in := io.Reader(r.Body)
	if limit > 0 {
		in = &limitedReader{in: r.Body, left: limit}
	}
	held, err := readHeld(in, r.ContentLength)
	if err != nil {
		return nil, err
	}
	b := &body{held: held, length: r.ContentLength}
	if len(held) == bufferedBody {
		b.rest = in
		return b, nil
	}
	if b.length < 0 {
		b.length = int64(len(held))
	}
	return b, nil
}

func readHeld(in io.Reader, length int64) ([]byte, error) {
	var held bytes.Buffer
	if length > 0 {
		held.Grow(int(min(length, bufferedBody)) + bytes.MinRead)
	}
	_, err := io.Copy(&held, io.LimitReader(in, bufferedBody))
	return held.Bytes(), err
}

// reader returns the body from its start.
func (b *body) reader() io.Reader {
	switch {
	case b.none:
		return nil
	case b.rest != nil:
		b.gone = true
		return io.MultiReader(bytes.NewReader(b.held), b.rest)
	}
	return bytes.NewReader(b.held)
}

// limitedReader returns errTooLarge once more than left bytes were read.
type limitedReader struct {
	in   io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.in.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}
