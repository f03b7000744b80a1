// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package share_test

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/share"
)

func TestParse(t *testing.T) {
	cases := map[string]struct {
		text string
		want share.PPM
		bad  bool
	}{
		"whole":             {text: "100%", want: share.Whole},
		"zero":              {text: "0%", want: share.None},
		"decimals":          {text: "12.5%", want: 125_000},
		"smallest":          {text: "0.0001%", want: 1},
		"no sign":           {text: "20", bad: true},
		"above 100":         {text: "100.1%", bad: true},
		"too many decimals": {text: "0.00001%", bad: true},
		"negative":          {text: "-1%", bad: true},
		"sign in decimals":  {text: "1.-5%", bad: true},
		"dot only":          {text: ".%", bad: true},
	}
	for name, c := range cases {
		Convey("Parse "+name, t, func() {
			got, err := share.Parse(c.text)
			So(err != nil, ShouldEqual, c.bad)
			So(got, ShouldEqual, c.want)
		})
	}
}

func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := share.PPM(rapid.Uint32Range(0, uint32(share.Whole)).Draw(t, "ppm"))
		got, err := share.Parse(p.String())
		if err != nil || got != p {
			t.Fatalf("%d became %q, then %d, %v", p, p.String(), got, err)
		}
	})
}

// Guards against clients leaving a fraction when it grows.
func TestGrowingShareMovesNoClientBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")))
		small := share.PPM(rapid.Uint32Range(0, uint32(share.Whole)).Draw(t, "small"))
		large := share.PPM(rapid.Uint32Range(uint32(small), uint32(share.Whole)).Draw(t, "large"))
		position := share.Position("lookup", share.ClientKey(client))
		if position < small && position >= large {
			t.Fatalf("client %s left when the share grew from %s to %s", client, small, large)
		}
	})
}

func TestPositionsAreUniform(t *testing.T) {
	const clients = 100_000
	below := 0
	for i := range clients {
		if share.Position("lookup", share.ClientKey(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))) < 20*share.Percent {
			below++
		}
	}
	if below < clients*195/1000 || below > clients*205/1000 {
		t.Fatalf("%d of %d clients lie within 20%%", below, clients)
	}
}
