// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// run is a request at a worker.
type run struct {
	id    string
	began time.Time
}

// aheadVM is a VM with six free workers, a repeatable route /look/ and another one.
type aheadVM struct {
	*vm
	fleet *fleet
	mu    sync.Mutex
	runs  []run
}

func newAheadVM(t *testing.T) *aheadVM {
	const workers, slots = 6, 4
	f := newFleet(t)
	v := &aheadVM{fleet: f}
	target := []route.Target{{Service: "s", Weight: 1}}
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "look", Host: "h", Prefix: "/look/", Repeatable: true, Timeout: 5 * time.Second, Targets: target},
			{Name: "once", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: target},
		},
	})
	for i := range workers {
		s := httptest.NewServer(http.HandlerFunc(v.work))
		t.Cleanup(s.Close)
		f.store.put(kindWorkers, fmt.Sprint("w", i), worker.Worker{Service: "s", Hall: "north-a", Slots: slots, Address: strings.TrimPrefix(s.URL, "http://")})
	}
	v.vm = f.startVM("a", "north-a", nil)
	f.waitFor("the VM serves", func() bool {
		status, _ := v.sendRequest("/warm")
		return status == http.StatusOK
	})
	v.forget()
	return v
}

func (v *aheadVM) work(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	v.runs = append(v.runs, run{id: r.Header.Get("Id"), began: time.Now()})
	v.mu.Unlock()
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}
	}
	_, _ = io.WriteString(w, r.Header.Get("Id"))
}

// begun returns what has begun at workers since forget.
func (v *aheadVM) begun() []run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]run(nil), v.runs...)
}

func (v *aheadVM) forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs = nil
}

func (v *aheadVM) dial() net.Conn {
	v.fleet.t.Helper()
	nc, err := net.Dial("tcp", v.ingressAddr)
	if err != nil {
		v.fleet.t.Fatal(err)
	}
	v.fleet.t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(waitTimeout))
	return nc
}

// once returns a request that may run once; the ids are the positions in what is sent.
func once(work time.Duration, id int) string {
	return fmt.Sprintf("POST /once?work=%s HTTP/1.1\r\nHost: h\r\nId: %d\r\nContent-Length: 0\r\n\r\n", work, id)
}

func look(work time.Duration, id int) string {
	return fmt.Sprintf("GET /look/?work=%s HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", work, id)
}

// answer is a response with the time at which it came.
type answer struct {
	status int
	body   string
	after  time.Duration
	closes bool
}

// exchange sends requests at once and reads responses until n have come or the connection
// ends.
func (v *aheadVM) exchange(nc net.Conn, requests string, n int) []answer {
	v.fleet.t.Helper()
	started := time.Now()
	if _, err := io.WriteString(nc, requests); err != nil {
		v.fleet.t.Fatal(err)
	}
	var list []answer
	br := bufio.NewReader(nc)
	for len(list) < n {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			v.fleet.t.Fatal(err)
		}
		list = append(list, answer{res.StatusCode, string(body), time.Since(started), res.Close})
	}
	return list
}

// margin is the time beyond the workers' that a response may take.
const margin = 200 * time.Millisecond

func (v *aheadVM) checkOrder(answers []answer, n int) {
	v.fleet.t.Helper()
	if len(answers) != n {
		v.fleet.t.Fatalf("%d of %d answers: %v", len(answers), n, answers)
	}
	for i, a := range answers {
		if a.status != http.StatusOK || a.body != fmt.Sprint(i) {
			v.fleet.t.Errorf("answer %d is %d with %q", i, a.status, a.body)
		}
	}
}

func TestRequestsSentAheadRunAtOnce(t *testing.T) {
	v := newAheadVM(t)
	t.Run("six of 300 ms", func(t *testing.T) {
		const requests, work = 6, 300 * time.Millisecond
		v.forget()
		var sent strings.Builder
		for i := range requests {
			sent.WriteString(look(work, i))
		}
		answers := v.exchange(v.dial(), sent.String(), requests)
		v.checkOrder(answers, requests)
		if last := answers[requests-1].after; last < work || last > work+margin {
			t.Errorf("the last answer came after %s", last)
		}
	})
	t.Run("a slow one before three fast ones", func(t *testing.T) {
		const slow, fast = time.Second, 20 * time.Millisecond
		v.forget()
		started := time.Now()
		answers := v.exchange(v.dial(), look(slow, 0)+look(fast, 1)+look(fast, 2)+look(fast, 3), 4)
		v.checkOrder(answers, 4)
		for _, r := range v.begun() {
			if after := r.began.Sub(started); after > margin {
				t.Errorf("request %s began after %s", r.id, after)
			}
		}
		if last := answers[3].after; last > slow+margin {
			t.Errorf("the last answer came after %s", last)
		}
	})
	t.Run("one that may run once between two others", func(t *testing.T) {
		const work = 100 * time.Millisecond
		v.forget()
		answers := v.exchange(v.dial(), look(work, 0)+once(work, 1)+look(work, 2), 3)
		v.checkOrder(answers, 3)
		runs := v.begun()
		if len(runs) != 3 {
			t.Fatalf("%d runs", len(runs))
		}
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].began.Sub(runs[i-1].began); runs[i].id != fmt.Sprint(i) || gap < work {
				t.Errorf("request %s began %s after the one before", runs[i].id, gap)
			}
		}
	})
	t.Run("a malformed one between two others", func(t *testing.T) {
		v.forget()
		answers := v.exchange(v.dial(), look(0, 0)+"nonsense\r\n\r\n"+once(0, 2), 3)
		if len(answers) != 2 || answers[0].status != http.StatusOK || answers[1].status != http.StatusBadRequest {
			t.Errorf("answers %v", answers)
		}
		time.Sleep(margin)
		if runs := v.begun(); len(runs) != 1 {
			t.Errorf("%d runs", len(runs))
		}
	})
}

func TestNothingBeginsAfterItsClientLeft(t *testing.T) {
	const work, stay = 400 * time.Millisecond, 100 * time.Millisecond
	v := newAheadVM(t)
	for name, second := range map[string]func(id int) string{
		"repeatable":   func(id int) string { return look(work, id) },
		"may run once": func(id int) string { return once(work, id) },
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				v.forget()
				nc := v.dial()
				if _, err := io.WriteString(nc, look(work, 0)+second(1)+second(2)+second(3)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(stay)
				left := time.Now()
				_ = nc.Close()
				time.Sleep(work + margin)
				for _, r := range v.begun() {
					if r.began.After(left) {
						t.Errorf("request %s began %s after its client had left", r.id, r.began.Sub(left))
					}
				}
			}
		})
	}
}

func TestClientThatReadsNothingDoesNotHoldUpOthers(t *testing.T) {
	const requests, depth = 4000, 16
	v := newAheadVM(t)
	nc := v.dial()
	var sent strings.Builder
	for i := range requests {
		sent.WriteString(look(time.Second, i))
	}
	go func() { _, _ = io.WriteString(nc, sent.String()) }()
	v.fleet.waitFor("the first ones began", func() bool { return len(v.begun()) > 0 })
	time.Sleep(margin)
	if n := len(v.begun()); n > depth {
		t.Errorf("%d began at once", n)
	}
	other := v.dial()
	for range 5 {
		if answers := v.exchange(other, look(0, 0), 1); len(answers) != 1 || answers[0].status != http.StatusOK || answers[0].after > margin {
			t.Errorf("another client's answer: %v", answers)
		}
	}
}

// What has begun must be answered, with the end of the connection in the last answer, and
// nothing behind it may run.
func TestStoppingVMAnswersWhatHasBegun(t *testing.T) {
	const work = 500 * time.Millisecond
	v := newAheadVM(t)
	nc := v.dial()
	answers := make(chan []answer, 1)
	go func() {
		answers <- v.exchange(nc, look(work, 0)+look(work/2, 1)+look(work, 2)+once(0, 3)+look(0, 4), 5)
	}()
	v.fleet.waitFor("three began", func() bool { return len(v.begun()) == 3 })
	v.stop()
	got := <-answers
	v.checkOrder(got, 3)
	for i, a := range got {
		if last := i == len(got)-1; a.closes != last {
			t.Errorf("answer %d ends the connection: %v", i, a.closes)
		}
	}
	<-v.done
	if n := len(v.begun()); n != 3 {
		t.Errorf("%d requests ran", n)
	}
}
