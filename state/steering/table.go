// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package steering maps client addresses to home halls.
//
// A Table is built from Parts, one for each blocks object, and is immutable, so
// goroutines may read it without locking. Blocks may nest; the longest prefix wins.
// Building a table flattens the blocks into disjoint ranges, and a lookup is a
// binary search over them that does not allocate.
//
// # Usage
//
//	table, err := steering.New([]steering.Block{{Prefix: prefix, Hall: "colombo-1"}})
//	hall, ok := table.Home(client)
package steering

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBlocks bounds the number of blocks in a table.
	MaxBlocks = 1 << 20
	// MaxHalls bounds the number of distinct home halls in a table.
	MaxHalls = 1 << 12
	// MaxBitsV6 is the longest IPv6 prefix allowed. The first 64 bits of an address
	// fit in one word, and longer prefixes identify single hosts.
	MaxBitsV6 = 64
)

// ErrInvalidBlock reports a block that a table cannot hold.
var ErrInvalidBlock = errors.New("steering: invalid block")

// Block assigns a prefix of client addresses to a home hall.
type Block struct {
	Prefix netip.Prefix
	Hall   string
}

// Table maps client addresses to home halls. The zero value is an empty table.
// It is safe for concurrent use.
type Table struct {
	v4    ranges
	v6    ranges
	halls []string
	count int
}

// ranges are disjoint and sorted. Range i starts at starts[i], ends before
// starts[i+1] and belongs to halls[homes[i]]. Home 0 means no hall.
type ranges struct {
	starts []uint64
	homes  []uint16
}

type span struct {
	first, last uint64
	// order breaks ties between equal prefixes: the highest wins.
	order uint32
	home  uint16
}

// New builds a table from one list of blocks; see NewPart and Merge.
func New(blocks []Block) (*Table, error) {
	p, err := NewPart(blocks)
	if err != nil {
		return nil, err
	}
	return Merge([]*Part{p})
}

// Part is a compact list of blocks, 24 bytes each, so that a change of one
// configuration object does not require decoding all others. It is immutable after
// NewPart and safe for concurrent use.
type Part struct {
	halls  []string
	v4, v6 []span
}

// NewPart validates and compacts blocks. It returns ErrInvalidBlock for an invalid
// prefix, an IPv6 prefix longer than MaxBitsV6, an empty hall, or more than
// MaxHalls halls.
func NewPart(blocks []Block) (*Part, error) {
	p := &Part{}
	index := make(map[string]uint16)
	for _, b := range blocks {
		s, is4, err := spanOf(b.Prefix)
		if err != nil {
			return nil, err
		}
		if s.home, p.halls, err = internHall(index, p.halls, b.Hall); err != nil {
			return nil, err
		}
		if is4 {
			p.v4 = append(p.v4, s)
		} else {
			p.v6 = append(p.v6, s)
		}
	}
	p.v4, p.v6 = slices.Clip(p.v4), slices.Clip(p.v6)
	return p, nil
}

// Merge builds a table from parts. If two prefixes are equal, the later one wins,
// so that a caller can override a base. It returns ErrInvalidBlock for more than
// MaxBlocks blocks or MaxHalls halls.
func Merge(parts []*Part) (*Table, error) {
	t := &Table{halls: []string{""}}
	index := map[string]uint16{"": 0}
	var v4, v6 []span
	for _, p := range parts {
		t.count += len(p.v4) + len(p.v6)
		if t.count > MaxBlocks {
			return nil, errors.Wrapf(ErrInvalidBlock, "more than %d blocks", MaxBlocks)
		}
		homes := make([]uint16, len(p.halls))
		for i, hall := range p.halls {
			var err error
			if homes[i], t.halls, err = internHall(index, t.halls, hall); err != nil {
				return nil, err
			}
		}
		v4 = appendRemapped(v4, p.v4, homes)
		v6 = appendRemapped(v6, p.v6, homes)
	}
	t.v4 = flatten(v4)
	t.v6 = flatten(v6)
	return t, nil
}

func appendRemapped(all, spans []span, homes []uint16) []span {
	all = slices.Grow(all, len(spans))
	for _, s := range spans {
		s.home = homes[s.home]
		s.order = uint32(len(all))
		all = append(all, s)
	}
	return all
}

func internHall(index map[string]uint16, halls []string, hall string) (uint16, []string, error) {
	if hall == "" {
		return 0, halls, errors.Wrap(ErrInvalidBlock, "empty hall")
	}
	if home, ok := index[hall]; ok {
		return home, halls, nil
	}
	if len(halls) > MaxHalls {
		return 0, halls, errors.Wrapf(ErrInvalidBlock, "more than %d halls", MaxHalls)
	}
	home := uint16(len(halls))
	index[hall] = home
	return home, append(halls, hall), nil
}

// Home returns the home hall of a client's address, or false if no block contains
// it. It does not allocate.
func (t *Table) Home(client netip.Addr) (string, bool) {
	client = client.Unmap()
	r := &t.v6
	if client.Is4() {
		r = &t.v4
	}
	home := r.homeAt(addressKey(client))
	if home == 0 {
		return "", false
	}
	return t.halls[home], true
}

// Halls returns the halls that have blocks.
func (t *Table) Halls() []string {
	if len(t.halls) == 0 {
		return nil
	}
	return slices.Clone(t.halls[1:])
}

// Blocks returns the number of blocks that the table was built from.
func (t *Table) Blocks() int { return t.count }

// Ranges returns the number of disjoint ranges after flattening.
func (t *Table) Ranges() int { return len(t.v4.starts) + len(t.v6.starts) }

func (r *ranges) homeAt(k uint64) uint16 {
	low, high := 0, len(r.starts)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r.starts[middle] <= k {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0
	}
	return r.homes[low-1]
}

func (r *ranges) appendRange(start uint64, home uint16) {
	last := len(r.starts) - 1
	if last >= 0 && r.starts[last] == start {
		r.homes[last] = home
		return
	}
	if last >= 0 && r.homes[last] == home {
		return
	}
	r.starts = append(r.starts, start)
	r.homes = append(r.homes, home)
}

// addressKey converts an address to an integer: IPv4 addresses occupy the low 32
// bits, IPv6 addresses contribute their high 64 bits, the longest prefix allowed.
func addressKey(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

func spanOf(p netip.Prefix) (span, bool, error) {
	if !p.IsValid() || p.Addr().Is4In6() {
		return span{}, false, errors.Wrapf(ErrInvalidBlock, "invalid prefix %s", p)
	}
	is4 := p.Addr().Is4()
	width := MaxBitsV6
	if is4 {
		width = 32
	}
	if p.Bits() > width {
		return span{}, false, errors.Wrapf(ErrInvalidBlock, "prefix %s is longer than /%d", p, width)
	}
	first := addressKey(p.Masked().Addr())
	size := uint64(1)<<(width-p.Bits()) - 1
	return span{first: first, last: first + size}, is4, nil
}

// flatten converts nested spans to disjoint ranges. Prefix spans either nest or are
// disjoint, so a stack of open spans suffices.
func flatten(spans []span) ranges {
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(b.last, a.last), cmp.Compare(a.order, b.order))
	})
	if len(spans) == 0 {
		return ranges{}
	}
	r := ranges{
		starts: make([]uint64, 0, len(spans)+1),
		homes:  make([]uint16, 0, len(spans)+1),
	}
	var open []span
	for _, s := range spans {
		open = closeSpansBefore(&r, open, s.first)
		if n := len(open); n > 0 && open[n-1].first == s.first && open[n-1].last == s.last {
			open[n-1] = s
		} else {
			open = append(open, s)
		}
		r.appendRange(s.first, s.home)
	}
	for len(open) > 0 {
		open = closeLastSpan(&r, open)
	}
	return r
}

func closeSpansBefore(r *ranges, open []span, first uint64) []span {
	for len(open) > 0 && open[len(open)-1].last < first {
		open = closeLastSpan(r, open)
	}
	return open
}

func closeLastSpan(r *ranges, open []span) []span {
	closed := open[len(open)-1]
	open = open[:len(open)-1]
	if closed.last == ^uint64(0) {
		return open
	}
	var home uint16
	if len(open) > 0 {
		home = open[len(open)-1].home
	}
	r.appendRange(closed.last+1, home)
	return open
}
