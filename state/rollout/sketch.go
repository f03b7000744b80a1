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

// Sketch counts how many different keys were seen, by linear counting: each key sets one
// of 1,024 bits, and the part of them that is still unset tells how many keys there were.
// Sketches of several VMs are joined without counting a key twice.
type Sketch [sketchWords]uint64

// Add adds the hash of a key.
func (s *Sketch) Add(hash uint64) {
	bit := hash % sketchBits
	s[bit/64] |= 1 << (bit % 64)
}

// Join adds the keys of another sketch.
func (s *Sketch) Join(other Sketch) {
	for i := range s {
		s[i] |= other[i]
	}
}

// Count returns about how many different keys were added. Above some 4,000 it is too low.
func (s Sketch) Count() float64 {
	unset := 0
	for _, word := range s {
		unset += bits.OnesCount64(^word)
	}
	return -sketchBits * math.Log(math.Max(float64(unset), 1)/sketchBits)
}

// Bytes returns the sketch as it is sent, nil for one without keys.
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

// SketchOf reads what Bytes returns. Anything else is a sketch without keys.
func SketchOf(raw []byte) Sketch {
	var s Sketch
	if len(raw) != sketchWords*wordBytes {
		return s
	}
	for i := range s {
		s[i] = binary.LittleEndian.Uint64(raw[i*wordBytes:])
	}
	return s
}
