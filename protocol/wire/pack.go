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

// maxUnpacked limits the decompressed size in bytes, so that a small message cannot
// exhaust the receiver's memory.
const maxUnpacked = 16 << 20

// ErrInvalidPacked reports a packed value that cannot be decoded.
var ErrInvalidPacked = errors.New("wire: invalid packed value")

// Pack returns a value as JSON compressed with DEFLATE (RFC 1951). Configuration
// makes up most of the traffic between VMs.
func Pack(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidPacked, err.Error())
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidPacked, err.Error())
	}
	if _, err = w.Write(raw); err == nil {
		err = w.Close()
	}
	return out.Bytes(), err
}

// Unpack decodes what Pack returned. It returns ErrInvalidPacked for invalid input
// and for more than 16 MiB of JSON.
func Unpack(packed []byte, into any) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return errors.Wrap(ErrInvalidPacked, err.Error())
	}
	if len(raw) > maxUnpacked {
		return errors.Wrapf(ErrInvalidPacked, "more than %d bytes of JSON", maxUnpacked)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.Wrap(ErrInvalidPacked, err.Error())
	}
	return nil
}
