// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// unbounded is the value of boundedReader.left without a bound.
const unbounded = -1

// errHeadTooLong ends an exchange whose worker sends more than Config.MaxHeaderBytes before
// the end of the response header.
var errHeadTooLong = errors.New("the response header is too long")

// boundedReader reads from a connection, and fails with errHeadTooLong once more bytes than
// the bound were read. It keeps the error of a failed connection: a socket reports it once, then
// the end of the stream, and parsers drop the errors of what they only peek at.
type boundedReader struct {
	source io.Reader
	left   int
	failed error
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	switch {
	case r.failed != nil:
		return 0, r.failed
	case r.left == 0:
		return 0, errHeadTooLong
	case r.left != unbounded:
		p = p[:min(len(p), r.left)]
	}
	n, err := r.source.Read(p)
	if err != nil && isConnectionFailure(err) {
		r.failed = err
	}
	if r.left != unbounded {
		r.left -= n
	}
	return n, err
}
