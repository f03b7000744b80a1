// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/quarantine"
)

func entry(name string, times int, since time.Time) quarantine.Entry {
	e := quarantine.Entry{
		Fingerprint: quarantine.FingerprintOf(quarantine.Identity{Target: name}), Target: quarantine.TargetOf("h", name),
		Subject: "GET h" + name, Service: "s", Workers: []string{"w1", "w2", "w3"}, Times: times - 1,
	}
	return e.Renewed(since)
}

func TestTable(t *testing.T) {
	now := time.Now()
	Convey("A table", t, func() {
		table, e := quarantine.NewTable(), entry("/bad", 1, now)
		find := func(at time.Time) bool {
			_, held := table.Find(e.Target, func() quarantine.Fingerprint { return e.Fingerprint }, at)
			return held
		}
		So(table.Hear(e), ShouldBeTrue)
		Convey("holds a request until its term is over, and remembers it", func() {
			So(find(now), ShouldBeTrue)
			So(find(e.Until), ShouldBeFalse)
			_, known := table.Get(e.Fingerprint)
			So(known, ShouldBeTrue)
		})
		Convey("asks for no fingerprint of a request to another target", func() {
			_, held := table.Find(e.Target+1, func() quarantine.Fingerprint { panic("asked") }, now)
			So(held, ShouldBeFalse)
		})
		Convey("takes what comes late, or again, for what it is", func() {
			again := e.Renewed(e.Until)
			So(table.Hear(again), ShouldBeTrue)
			So(table.Hear(e), ShouldBeFalse)
			So(find(again.Since), ShouldBeTrue)
			So(table.Len(), ShouldEqual, 1)
		})
		Convey("knows what the store lacks", func() {
			So(table.Unstored(), ShouldHaveLength, 1)
			table.SetStored([]quarantine.Entry{e})
			So(table.Unstored(), ShouldBeEmpty)
			table.Hear(e.Renewed(e.Until))
			So(table.Unstored(), ShouldHaveLength, 1)
		})
		Convey("forgets what the store kept and keeps no more", func() {
			heard := entry("/heard", 1, now)
			table.Hear(heard)
			table.SetStored([]quarantine.Entry{e})
			table.SetStored(nil)
			So(find(now), ShouldBeFalse)
			_, known := table.Get(heard.Fingerprint)
			So(known, ShouldBeTrue)
		})
		Convey("is bounded, and keeps what was held most often", func() {
			table.Hear(e.Renewed(e.Until))
			for i := range 2 * quarantine.MaxEntries {
				table.Hear(entry(fmt.Sprint("/", i), 1, now.Add(time.Duration(i)*time.Millisecond)))
			}
			So(table.Len(), ShouldEqual, quarantine.MaxEntries)
			_, known := table.Get(e.Fingerprint)
			So(known, ShouldBeTrue)
		})
	})
}

func TestEntryCanBeReadBack(t *testing.T) {
	e := entry("/bad", 2, time.Now())
	raw, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := quarantine.Decode(raw)
	if err != nil || !read.Since.Equal(e.Since) || !read.Until.Equal(e.Until) || read.Fingerprint != e.Fingerprint || read.Times != e.Times {
		t.Errorf("%+v %v, want %+v", read, err, e)
	}
}

func TestFaultyEntries(t *testing.T) {
	whole := `{"fingerprint":"` + strings.Repeat("ab", 16) + `","times":1,"sinceMs":5,"untilMs":9}`
	if _, err := quarantine.Decode([]byte(whole)); err != nil {
		t.Fatal(err)
	}
	cases := map[string]string{
		"no JSON":        "\x00\xff",
		"nothing":        "",
		"a list":         "[]",
		"no fingerprint": `{"times":1}`,
		"never held":     strings.Replace(whole, `"times":1`, `"times":0`, 1),
		"ends early":     strings.Replace(whole, `"untilMs":9`, `"untilMs":1`, 1),
		"held too long":  strings.Replace(whole, `"untilMs":9`, `"untilMs":9000000000`, 1),
		"long subject":   strings.Replace(whole, `"times"`, `"subject":"`+strings.Repeat("x", 70_000)+`","times"`, 1),
		"other types":    strings.Replace(whole, `"times":1`, `"times":"1"`, 1),
	}
	for name, raw := range cases {
		if _, err := quarantine.Decode([]byte(raw)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
