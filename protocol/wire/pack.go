// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxUnpacked bounds what a packed value may grow to, in bytes, so that a small
// message cannot fill the receiver's memory.
const maxUnpacked = 16 << 20

// ErrPacked reports a packed value that cannot be read.
var ErrPacked = errors.New("wire: bad packed value")

// Pack returns a value as compressed JSON (RFC 1951). Configuration shrinks to
// about an eighth, and it is what takes most of the bytes between VMs.
func Pack(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(ErrPacked, err.Error())
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(ErrPacked, err.Error())
	}
	if _, err = w.Write(raw); err == nil {
		err = w.Close()
	}
	return out.Bytes(), err
}

// Unpack reads what Pack returned. It returns ErrPacked for anything else, and
// for more than 16 MiB.
func Unpack(packed []byte, into any) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return errors.Wrap(ErrPacked, err.Error())
	}
	if len(raw) > maxUnpacked {
		return errors.Wrapf(ErrPacked, "more than %d bytes", maxUnpacked)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.Wrap(ErrPacked, err.Error())
	}
	return nil
}
