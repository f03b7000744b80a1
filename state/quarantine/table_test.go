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

func newEntry(name string, times int, since time.Time) quarantine.Entry {
	e := quarantine.Entry{
		Fingerprint: quarantine.ComputeFingerprint(quarantine.Identity{Target: name}), TargetHash: quarantine.HashTarget("h", name),
		Subject: "GET h" + name, Service: "s", Workers: []string{"w1", "w2", "w3"}, Times: times - 1,
	}
	return e.Renewed(since)
}

func TestTable(t *testing.T) {
	now := time.Now()
	Convey("A table", t, func() {
		table, e := quarantine.NewTable(), newEntry("/bad", 1, now)
		find := func(at time.Time) bool {
			_, held := table.Find(e.TargetHash, func() quarantine.Fingerprint { return e.Fingerprint }, at)
			return held
		}
		So(table.Merge(e), ShouldBeTrue)
		Convey("quarantines a request until its term ends, and keeps the entry", func() {
			So(find(now), ShouldBeTrue)
			So(find(e.Until), ShouldBeFalse)
			_, known := table.Get(e.Fingerprint)
			So(known, ShouldBeTrue)
		})
		Convey("computes no fingerprint for a request to another target", func() {
			_, held := table.Find(e.TargetHash+1, func() quarantine.Fingerprint { panic("fingerprint computed") }, now)
			So(held, ShouldBeFalse)
		})
		Convey("accepts a renewed entry and ignores older ones", func() {
			again := e.Renewed(e.Until)
			So(table.Merge(again), ShouldBeTrue)
			So(table.Merge(e), ShouldBeFalse)
			So(find(again.Since), ShouldBeTrue)
			So(table.Len(), ShouldEqual, 1)
		})
		Convey("lists entries missing from the store", func() {
			So(table.Unstored(), ShouldHaveLength, 1)
			table.SyncStored([]quarantine.Entry{e})
			So(table.Unstored(), ShouldBeEmpty)
			table.Merge(e.Renewed(e.Until))
			So(table.Unstored(), ShouldHaveLength, 1)
		})
		Convey("does not save, or keep after its release, an entry that another VM made at the same time", func() {
			table.SyncStored([]quarantine.Entry{newEntry("/bad", 1, now.Add(-5*time.Millisecond))})
			So(table.Unstored(), ShouldBeEmpty)
			table.Merge(newEntry("/bad", 1, now.Add(5*time.Millisecond)))
			So(table.Unstored(), ShouldBeEmpty)
			table.SyncStored(nil)
			So(table.Len(), ShouldEqual, 0)
		})
		Convey("keeps an entry of a later term after the release of an earlier one", func() {
			table.SyncStored([]quarantine.Entry{e})
			table.Merge(newEntry("/bad", 1, now.Add(3*time.Second)))
			So(table.Unstored(), ShouldHaveLength, 1)
		})
		Convey("deletes entries that were removed from the store", func() {
			unsaved := newEntry("/heard", 1, now)
			table.Merge(unsaved)
			table.SyncStored([]quarantine.Entry{e})
			table.SyncStored(nil)
			So(find(now), ShouldBeFalse)
			_, known := table.Get(unsaved.Fingerprint)
			So(known, ShouldBeTrue)
		})
		Convey("is bounded, and evicts entries with the lowest count first", func() {
			table.Merge(e.Renewed(e.Until))
			for i := range 2 * quarantine.MaxEntries {
				table.Merge(newEntry(fmt.Sprint("/", i), 1, now.Add(time.Duration(i)*time.Millisecond)))
			}
			So(table.Len(), ShouldEqual, quarantine.MaxEntries)
			_, known := table.Get(e.Fingerprint)
			So(known, ShouldBeTrue)
		})
	})
}

func TestEntryRoundTrip(t *testing.T) {
	e := newEntry("/bad", 2, time.Now())
	raw, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := quarantine.Decode(raw)
	if err != nil || !decoded.Since.Equal(e.Since) || !decoded.Until.Equal(e.Until) || decoded.Fingerprint != e.Fingerprint || decoded.Times != e.Times {
		t.Errorf("%+v %v, want %+v", decoded, err, e)
	}
}

func TestDecodeRejectsMalformedEntries(t *testing.T) {
	valid := `{"fingerprint":"` + strings.Repeat("ab", 16) + `","times":1,"sinceMs":5,"untilMs":9}`
	if _, err := quarantine.Decode([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	cases := map[string]string{
		"not JSON":              "\x00\xff",
		"nothing":               "",
		"a list":                "[]",
		"no fingerprint":        `{"times":1}`,
		"count of zero":         strings.Replace(valid, `"times":1`, `"times":0`, 1),
		"ends before it begins": strings.Replace(valid, `"untilMs":9`, `"untilMs":1`, 1),
		"term too long":         strings.Replace(valid, `"untilMs":9`, `"untilMs":9000000000`, 1),
		"long subject":          strings.Replace(valid, `"times"`, `"subject":"`+strings.Repeat("x", 70_000)+`","times"`, 1),
		"wrong types":           strings.Replace(valid, `"times":1`, `"times":"1"`, 1),
	}
	for name, raw := range cases {
		if _, err := quarantine.Decode([]byte(raw)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
