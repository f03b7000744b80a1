// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"encoding/binary"
	"math"
	"math/bits"
)

const (
	sketchWords = 16
	sketchBits  = sketchWords * 64
	wordBytes   = 8
)

// Sketch estimates the number of distinct keys by linear counting: each key sets one of
// 1,024 bits, and the fraction of unset bits gives the estimate. Sketches of several VMs
// can be merged without counting a key twice.
type Sketch [sketchWords]uint64

// Add adds the hash of a key.
func (s *Sketch) Add(hash uint64) {
	bit := hash % sketchBits
	s[bit/64] |= 1 << (bit % 64)
}

// Merge adds the keys of another sketch.
func (s *Sketch) Merge(other Sketch) {
	for i := range s {
		s[i] |= other[i]
	}
}

// Count estimates the number of distinct keys. It is too low above some 4,000 keys.
func (s Sketch) Count() float64 {
	unset := 0
	for _, word := range s {
		unset += bits.OnesCount64(^word)
	}
	return -sketchBits * math.Log(math.Max(float64(unset), 1)/sketchBits)
}

// Bytes encodes the sketch, as nil if it has no keys.
func (s Sketch) Bytes() []byte {
	if s == (Sketch{}) {
		return nil
	}
	raw := make([]byte, 0, sketchWords*wordBytes)
	for _, word := range s {
		raw = binary.LittleEndian.AppendUint64(raw, word)
	}
	return raw
}

// ParseSketch decodes the output of Bytes. Anything else gives a sketch without keys.
func ParseSketch(raw []byte) Sketch {
	var s Sketch
	if len(raw) != sketchWords*wordBytes {
		return s
	}
	for i := range s {
		s[i] = binary.LittleEndian.Uint64(raw[i*wordBytes:])
	}
	return s
}
