// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package share represents fractions of traffic in parts per million.
//
// Integers keep sums and comparisons exact: 10 % is 100,000 parts. Parsing rejects
// values that cannot be represented exactly, and scaling rounds down, so a limit is
// never exceeded.
//
// # Usage
//
//	limit, err := share.Parse("12.5%")
//	allowed := limit.Scale(1000) // 125
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
	// None is no traffic.
	None PPM = 0
	// Whole is all traffic.
	Whole PPM = 1_000_000
	// Percent is one percent.
	Percent PPM = 10_000
)

// ErrSyntax reports text that is not a valid percentage.
var ErrSyntax = errors.New("share: want a percentage from 0% to 100% with at most four decimals")

// Parse reads a percentage such as "20%" or "0.5%".
// It returns ErrSyntax for anything else, including more than four decimals.
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

// String returns the fraction as a percentage that Parse accepts.
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

// Scale returns the fraction of count, rounded down.
func (p PPM) Scale(count uint64) uint64 {
	hi, lo := bits.Mul64(count, uint64(p))
	quotient, _ := bits.Div64(hi%uint64(Whole), lo, uint64(Whole))
	return quotient
}

// HashKey identifies a client or an affinity key for hashing.
type HashKey [16]byte

// ClientKey returns the hash key of a client address.
func ClientKey(address netip.Addr) HashKey { return address.As16() }

// KeyFromHash returns the hash key for an already hashed value.
func KeyFromHash(hash uint64) HashKey {
	var s HashKey
	binary.LittleEndian.PutUint64(s[:], hash)
	return s
}

// Position hashes a key to a position from 0 to 999,999. The name separates moves
// and services, so that each places the same key differently.
//
// A key belongs to a fraction if its position lies below it. Growing the fraction only
// adds keys, and shrinking it only removes the keys added last, which keeps the
// receiver's caches warm.
// It does not allocate.
func Position(name string, s HashKey) PPM {
	return PPM(hash(name, s, 0) % uint64(Whole))
}

// PickWeighted hashes a key to the index of a weight, in proportion to the weights.
// It returns -1 if all weights are zero.
func PickWeighted(name string, s HashKey, weights []uint32) int {
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

func hash(name string, s HashKey, salt byte) uint64 {
	var buffer [17]byte
	copy(buffer[:], s[:])
	buffer[16] = salt
	// Hashes the name separately: joining it with the buffer would allocate.
	mixed := xxhash.Sum64(buffer[:]) ^ bits.RotateLeft64(xxhash.Sum64String(name), 31)
	mixed *= 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}
