// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// FingerprintSize is the length of a Fingerprint in bytes.
const FingerprintSize = 16

// ErrFingerprint reports a malformed fingerprint.
var ErrFingerprint = errors.New("quarantine: want a fingerprint of 32 hexadecimal digits")

// Fingerprint identifies requests that are the same to a worker, ignoring what differs
// between attempts. It is a truncated SHA-256, so that nobody can craft a request
// that is mistaken for another one.
type Fingerprint [FingerprintSize]byte

// Identity holds the parts of a request that its fingerprint covers.
type Identity struct {
	Method, Host, Target string
	// Credential identifies the caller, "" if there is none.
	Credential string
	// Body is the body, or its buffered prefix if the body is longer. Length is the
	// full length in bytes, -1 if unknown.
	Body   []byte
	Length int64
}

// ComputeFingerprint returns the fingerprint of a request.
func ComputeFingerprint(id Identity) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range []string{id.Method, id.Host, id.Target, id.Credential} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:]) // never fails
		_, _ = hash.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(length[:], uint64(id.Length))
	_, _ = hash.Write(length[:])
	_, _ = hash.Write(id.Body)
	return Fingerprint(hash.Sum(nil)[:FingerprintSize])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads the output of String. It returns ErrFingerprint for anything
// else.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != FingerprintSize {
		return Fingerprint{}, errors.Wrapf(ErrFingerprint, "%.64q", text)
	}
	return Fingerprint(raw), nil
}

// FingerprintFromBytes converts raw bytes to a fingerprint. It returns ErrFingerprint if
// their number is not FingerprintSize.
func FingerprintFromBytes(raw []byte) (Fingerprint, error) {
	if len(raw) != FingerprintSize {
		return Fingerprint{}, errors.Wrapf(ErrFingerprint, "%d bytes", len(raw))
	}
	return Fingerprint(raw), nil
}
