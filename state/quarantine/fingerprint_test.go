// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/quarantine"
)

func TestFingerprint(t *testing.T) {
	base := quarantine.Identity{Method: "POST", Host: "h", Target: "/a", Credential: "k", Body: []byte("b"), Length: 1}
	changes := map[string]func(*quarantine.Identity){
		"method":                 func(id *quarantine.Identity) { id.Method = "PUT" },
		"host":                   func(id *quarantine.Identity) { id.Host = "i" },
		"target":                 func(id *quarantine.Identity) { id.Target = "/a?x" },
		"caller":                 func(id *quarantine.Identity) { id.Credential = "l" },
		"body":                   func(id *quarantine.Identity) { id.Body = []byte("c") },
		"length":                 func(id *quarantine.Identity) { id.Length = 2 },
		"boundary between parts": func(id *quarantine.Identity) { id.Host, id.Target = "h/", "a" },
	}
	Convey("Equal requests have the same fingerprint", t, func() {
		So(quarantine.ComputeFingerprint(base), ShouldEqual, quarantine.ComputeFingerprint(base))
	})
	for name, change := range changes {
		Convey("A different "+name+" changes the fingerprint", t, func() {
			other := base
			change(&other)
			So(quarantine.ComputeFingerprint(other), ShouldNotEqual, quarantine.ComputeFingerprint(base))
		})
	}
	Convey("Its text and bytes round-trip", t, func() {
		f := quarantine.ComputeFingerprint(base)
		parsed, err := quarantine.ParseFingerprint(f.String())
		So(err, ShouldBeNil)
		So(parsed, ShouldEqual, f)
		parsed, err = quarantine.FingerprintFromBytes(f[:])
		So(err, ShouldBeNil)
		So(parsed, ShouldEqual, f)
	})
	for name, text := range map[string]string{"empty": "", "short": "ab", "not hexadecimal": "zz" + base.Target, "long": string(make([]byte, 70_000))} {
		Convey("Text that is "+name+" is rejected", t, func() {
			_, err := quarantine.ParseFingerprint(text)
			So(err, ShouldBeError)
			So(len(err.Error()), ShouldBeLessThan, 500)
		})
	}
}

// Measures the cost of a fingerprint by body size.
func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"none": 0, "1 MB": 1 << 20} {
		id := quarantine.Identity{Method: "GET", Host: "schools.example", Target: "/status/17/ab", Body: make([]byte, size), Length: int64(size)}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				quarantine.ComputeFingerprint(id)
			}
		})
	}
}
