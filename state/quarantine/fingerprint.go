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

// ErrFingerprint reports text that is no fingerprint.
var ErrFingerprint = errors.New("quarantine: want a fingerprint of 32 hexadecimal digits")

// Fingerprint tells requests apart by what a worker gets of them, but for what
// differs from attempt to attempt. It is a part of a SHA-256, so that nobody can make
// a request of their own that is taken for somebody else's.
type Fingerprint [FingerprintSize]byte

// Identity is what makes two requests the same one.
type Identity struct {
	Method, Host, Target string
	// Credential is what shows whose request it is, "" for nothing.
	Credential string
	// Body is the body, or its start if it is longer than what is held of it, and
	// Length the whole length in bytes, -1 if that is unknown.
	Body   []byte
	Length int64
}

// FingerprintOf returns the fingerprint of a request. A body costs under 1 ms a megabyte
// (BenchmarkFingerprint).
func FingerprintOf(id Identity) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range []string{id.Method, id.Host, id.Target, id.Credential} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:]) // A hash takes all.
		_, _ = hash.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(length[:], uint64(id.Length))
	_, _ = hash.Write(length[:])
	_, _ = hash.Write(id.Body)
	return Fingerprint(hash.Sum(nil)[:FingerprintSize])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returns. It returns ErrFingerprint for anything
// else.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != FingerprintSize {
		return Fingerprint{}, errors.Wrapf(ErrFingerprint, "%.64q", text)
	}
	return Fingerprint(raw), nil
}

// FingerprintFrom reads a fingerprint from its bytes. It returns ErrFingerprint for
// another number of them.
func FingerprintFrom(raw []byte) (Fingerprint, error) {
	if len(raw) != FingerprintSize {
		return Fingerprint{}, errors.Wrapf(ErrFingerprint, "%d bytes", len(raw))
	}
	return Fingerprint(raw), nil
}
