// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/workspace"
)

// The room of a busy worker must go to the workspace of higher rank, and a refusal must say
// for whom it is kept.
func TestRoomGoesByRankOfWorkspace(t *testing.T) {
	const capacity, freed, pressing = 8, 2, 40 // The worker has four slots, and room for as many more.
	release := make(chan struct{})
	var arrived atomic.Int64
	f := newFixture(t, 1, func(_ int, w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		<-release
		w.WriteHeader(http.StatusOK)
	})
	defer close(release)
	directory, err := workspace.NewDirectory([]workspace.Config{{Name: "first", Keys: []string{"k1"}}, {Name: "last", Keys: []string{"k2"}, Priority: 1}})
	if err != nil {
		t.Fatal(err)
	}
	s := *f.snapshot
	s.Routes = route.NewTable(route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}}, Workspaces: directory,
		Routes: []route.Route{{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, MaxAttempts: 1, Timeout: time.Minute, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	f.setSnapshot(&s)
	f.byRank = true
	f.serve(t)
	send := func(id, key string) reply {
		return f.send(http.MethodGet, "/read/", id, "", "Api-Key", key, "Wait", "60000")
	}
	answered := make(chan reply, 2*capacity)
	begin := func(id string) { go func() { answered <- send(id, "k1") }() }
	await := func(n int64) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); arrived.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("only %d of %d requests reached the worker", arrived.Load(), n)
			}
		}
	}
	for i := range capacity {
		begin(fmt.Sprint("held", i))
		await(int64(i + 1))
	}
	send("exempt", "k2") // The first request of a rank ignores reservations.
	for i := range pressing {
		send(fmt.Sprint("pressing", i), "k1")
	}
	for range freed {
		release <- struct{}{}
		<-answered
	}
	refused := send("low", "k2")
	if refused.status != http.StatusServiceUnavailable || len(f.ran("low")) > 0 {
		t.Errorf("low rank: status %d, ran at %v", refused.status, f.ran("low"))
	}
	const least, most = 0.1, 2.15 // Seconds; the bounds of the time and of its jitter.
	if after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64); err != nil || after < least || after > most {
		t.Errorf("Retry-After %q", refused.header.Get("Retry-After"))
	}
	record, _ := f.decisions.Find("low")
	text := fmt.Sprint(record.Inputs)
	for _, want := range []string{"1 of 2", "reserved for rank 0 or higher"} {
		if !strings.Contains(text, want) {
			t.Errorf("the decision record %s lacks %q", text, want)
		}
	}
	begin("high")
	await(capacity + 1)
}
