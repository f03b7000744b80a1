// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package steering_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/steering"
)

// Table lookups must agree with a linear search for the longest prefix.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var blocks []steering.Block
		for i := range rapid.IntRange(0, 30).Draw(t, "blocks") {
			blocks = append(blocks, steering.Block{Prefix: drawPrefix(t), Hall: fmt.Sprintf("h%d", i%5)})
		}
		table, err := steering.New(blocks)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			client := drawAddr(t)
			want, bits := "", -1
			for _, b := range blocks {
				if b.Prefix.Contains(client) && b.Prefix.Bits() >= bits {
					want, bits = b.Hall, b.Prefix.Bits()
				}
			}
			if got, _ := table.Home(client); got != want {
				t.Fatalf("client %s: got %q, want %q of %v", client, got, want, blocks)
			}
		}
	})
}

func drawAddr(t *rapid.T) netip.Addr {
	// Few distinct bytes make blocks nest and share boundaries.
	b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 127, 128, 255}), 4, 4).Draw(t, "bytes")
	if rapid.Bool().Draw(t, "v6") {
		return netip.AddrFrom16([16]byte{0x20, 1, b[0], b[1], b[2], b[3], 0, 9})
	}
	return netip.AddrFrom4([4]byte(b))
}

func drawPrefix(t *rapid.T) netip.Prefix {
	a := drawAddr(t)
	longest := 64
	if a.Is4() {
		longest = 32
	}
	return netip.PrefixFrom(a, rapid.IntRange(0, longest).Draw(t, "bits")).Masked()
}

func TestInvalidBlocksAreRejected(t *testing.T) {
	cases := map[string]steering.Block{
		"zero prefix":   {Hall: "a"},
		"no hall":       {Prefix: netip.MustParsePrefix("10.0.0.0/8")},
		"single v6":     {Prefix: netip.MustParsePrefix("2001:db8::1/128"), Hall: "a"},
		"mapped prefix": {Prefix: netip.PrefixFrom(netip.MustParseAddr("::ffff:10.0.0.0"), 104), Hall: "a"},
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := steering.New([]steering.Block{b}); err == nil {
				t.Fatal("New accepted an invalid block")
			}
		})
	}
}

// targetBlocks returns n blocks spread over 21 halls.
func targetBlocks(n int) []steering.Block {
	blocks := make([]steering.Block, 0, n)
	for i := range n {
		address := netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0})
		blocks = append(blocks, steering.Block{Prefix: netip.PrefixFrom(address, 24), Hall: fmt.Sprintf("hall-%d", i*7%21)})
	}
	return blocks
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table, err := steering.New(targetBlocks(10_000))
	if err != nil {
		t.Fatal(err)
	}
	client := netip.MustParseAddr("20.3.7.9")
	if n := testing.AllocsPerRun(100, func() { table.Home(client) }); n != 0 {
		t.Fatalf("%.0f allocations", n)
	}
}

func BenchmarkHome(b *testing.B) {
	for _, n := range []int{1_000, 28_000, 280_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			table, err := steering.New(targetBlocks(n))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			i := uint32(0)
			for b.Loop() {
				i += 2654435761
				table.Home(netip.AddrFrom4([4]byte{byte(20 + i>>29), byte(i >> 16), byte(i >> 8), byte(i)}))
			}
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{28_000, 280_000} {
		blocks := targetBlocks(n)
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := steering.New(blocks); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
