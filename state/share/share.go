// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package share holds fractions of traffic as whole parts per million.
//
// Whole numbers keep every sum exact: a cap of 10 % is 100,000 parts, and a
// comparison against it never depends on rounding. Parsing refuses what cannot
// be held exactly and arithmetic rounds down, so a limit is never overshot.
//
// # Usage
//
//	limit, err := share.Parse("12.5%")
//	allowed := limit.Of(1000) // 125
package share

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// PPM is a fraction in parts per million, from None to Whole.
type PPM uint32

const (
	// None is the empty share.
	None PPM = 0
	// Whole is all of the traffic.
	Whole PPM = 1_000_000
	// Percent is one part in a hundred.
	Percent PPM = 10_000
)

// ErrSyntax reports text that is no share.
var ErrSyntax = errors.New("share: want a percentage from 0% to 100% with at most four decimals")

// Parse reads a percentage such as "20%" or "0.5%".
// It returns ErrSyntax for anything else, also for more than four decimals.
func Parse(text string) (PPM, error) {
	number, ok := strings.CutSuffix(strings.TrimSpace(text), "%")
	if !ok {
		return None, errors.Wrapf(ErrSyntax, "%q", text)
	}
	whole, decimals, _ := strings.Cut(number, ".")
	if whole == "" || len(whole) > 3 || len(decimals) > 4 {
		return None, errors.Wrapf(ErrSyntax, "%q", text)
	}
	digits := whole + decimals + strings.Repeat("0", 4-len(decimals))
	parts, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || PPM(parts) > Whole {
		return None, errors.Wrapf(ErrSyntax, "%q", text)
	}
	return PPM(parts), nil
}

// String returns the share as a percentage that Parse reads back.
func (p PPM) String() string {
	text := strconv.FormatUint(uint64(p/Percent), 10)
	rest := uint64(p % Percent)
	if rest == 0 {
		return text + "%"
	}
	decimals := strconv.FormatUint(uint64(Percent)+rest, 10)[1:]
	return text + "." + strings.TrimRight(decimals, "0") + "%"
}

// MarshalText implements encoding.TextMarshaler.
func (p PPM) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *PPM) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}

// Of returns the share of count, rounded down.
func (p PPM) Of(count uint64) uint64 {
	hi, lo := bits.Mul64(count, uint64(p))
	quotient, _ := bits.Div64(hi%uint64(Whole), lo, uint64(Whole))
	return quotient
}

// Subject is what a share holds or does not hold: a client or a key.
type Subject [16]byte

// Client returns the subject that stands for a client's address.
func Client(address netip.Addr) Subject { return address.As16() }

// Key returns the subject that stands for the hash of a key.
func Key(hash uint64) Subject {
	var s Subject
	binary.LittleEndian.PutUint64(s[:], hash)
	return s
}

// Position places a subject of a move or service on a scale from 0 to 999,999.
//
// A subject belongs to a share exactly if its position lies below it. Growing a
// share therefore only adds subjects, and shrinking it only removes those added
// last, so that caches of the receiver stay warm.
// It does not allocate.
func Position(name string, s Subject) PPM {
	return PPM(hash(name, s, 0) % uint64(Whole))
}

// Weighted returns the index of the weight that a subject falls to, each in
// proportion to its weight. It returns -1 if all weights are zero.
func Weighted(name string, s Subject, weights []uint32) int {
	var total uint64
	for _, weight := range weights {
		total += uint64(weight)
	}
	if total == 0 {
		return -1
	}
	point := hash(name, s, 1) % total
	for i, weight := range weights {
		if point < uint64(weight) {
			return i
		}
		point -= uint64(weight)
	}
	return -1
}

func hash(name string, s Subject, salt byte) uint64 {
	var buffer [17]byte
	copy(buffer[:], s[:])
	buffer[16] = salt
	// The two sums are mixed, since xxhash over one joined buffer would need
	// an allocation for the name.
	mixed := xxhash.Sum64(buffer[:]) ^ bits.RotateLeft64(xxhash.Sum64String(name), 31)
	mixed *= 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}
