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
// the bound were read.
type boundedReader struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left == unbounded {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
