// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// isolationMode is how a VM loses its connections to workers.
type isolationMode int

const (
	notIsolated isolationMode = iota
	// isolatedByReset accepts new connections and resets all.
	isolatedByReset
	// isolatedByRefusal resets open connections and refuses new ones.
	isolatedByRefusal
	// isolatedBySilence loses what is sent and received, and answers no new connection.
	isolatedBySilence
	// isolatedBySilentAccept accepts new connections, and loses what is sent on all, though
	// it is acknowledged.
	isolatedBySilentAccept
	// isolatedForNew keeps open connections and refuses new ones.
	isolatedForNew
)

const (
	// simulatedAckTimeout is after how long a connection that loses all data fails, as with
	// TCP_USER_TIMEOUT.
	simulatedAckTimeout = 900 * time.Millisecond
	// simulatedRoundTrip is after how long a connection is reset.
	simulatedRoundTrip = 2 * time.Millisecond
)

// workerPath is one VM's path to all workers.
type workerPath struct {
	mu    sync.Mutex
	mode  isolationMode
	conns map[*workerConn]struct{}
}

func newWorkerPath() *workerPath { return &workerPath{conns: make(map[*workerConn]struct{})} }

func (p *workerPath) configure(cfg *gateway.Config, _ *storeClient) { cfg.WorkerDial = p.dial }

func (p *workerPath) setMode(mode isolationMode) {
	p.mu.Lock()
	p.mode = mode
	conns := make([]*workerConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.setMode(mode)
	}
}

func (p *workerPath) currentMode() isolationMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *workerPath) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.currentMode() {
	case isolatedByRefusal, isolatedForNew:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case isolatedBySilence:
		<-ctx.Done()
		return nil, ctx.Err()
	case notIsolated, isolatedByReset, isolatedBySilentAccept:
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &workerConn{Conn: raw, path: p, failed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	mode := p.mode
	p.mu.Unlock()
	c.setMode(mode)
	return c, nil
}

// workerConn is a connection on a workerPath.
type workerConn struct {
	net.Conn
	path *workerPath

	mu sync.Mutex
	// failure is what the connection fails with, and lost whether it loses all data.
	failure error
	lost    bool
	// unacknowledged is set if the loss is noticed after simulatedAckTimeout.
	unacknowledged bool
	failed         chan struct{}
	once           sync.Once
}

func (c *workerConn) setMode(mode isolationMode) {
	switch mode {
	case isolatedByReset, isolatedByRefusal:
		c.lose()
		time.AfterFunc(simulatedRoundTrip, func() { c.fail(syscall.ECONNRESET) })
	case isolatedBySilence:
		c.lose()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unacknowledged = true
	case isolatedBySilentAccept:
		c.lose()
	case notIsolated, isolatedForNew:
	}
}

func (c *workerConn) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}

func (c *workerConn) fail(err error) {
	c.once.Do(func() {
		c.mu.Lock()
		c.failure = err
		c.mu.Unlock()
		close(c.failed)
		_ = c.Conn.Close()
	})
}

func (c *workerConn) state() (failure error, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure, c.lost
}

func (c *workerConn) isUnacknowledged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unacknowledged
}

// Read implements net.Conn. A connection that loses data returns nothing until it fails.
func (c *workerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	failure, lost := c.state()
	if failure == nil && lost && n > 0 {
		<-c.failed
		failure, _ = c.state()
	}
	if failure != nil {
		return 0, failure
	}
	return n, err
}

// Write implements net.Conn.
func (c *workerConn) Write(b []byte) (int, error) {
	failure, lost := c.state()
	switch {
	case failure != nil:
		return 0, failure
	case lost:
		if c.isUnacknowledged() {
			time.AfterFunc(simulatedAckTimeout, func() { c.fail(syscall.ETIMEDOUT) })
		}
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *workerConn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	c.fail(net.ErrClosed)
	return nil
}

// isolationFleet is a fleet whose VMs can lose their paths to all workers.
type isolationFleet struct {
	*fleet
	paths []*workerPath
}

const isolationHost = "h"

// startIsolationFleet starts VMs in three halls of two regions, and workers that take a few
// milliseconds, of which each runs a request once.
func startIsolationFleet(t *testing.T, vms, workers int) *isolationFleet {
	f := &isolationFleet{fleet: newFleet(t)}
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "read", Host: isolationHost, Prefix: "/read/", Timeout: 2 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 3, Repeatable: true, Affinity: true, Targets: []route.Target{{Service: "s", Weight: 1}}},
			{Name: "once", Host: isolationHost, Prefix: "/once/", Timeout: 2 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 3, Affinity: true, Targets: []route.Target{{Service: "s", Weight: 1}}},
		},
	})
	halls := []string{"north-a", "north-b", "south-a"}
	for i := range workers {
		f.startIsolationWorker(fmt.Sprintf("w%d", i), halls[i%len(halls)])
	}
	for i := range vms {
		path := newWorkerPath()
		f.paths = append(f.paths, path)
		f.startVM(fmt.Sprintf("v%d", i), halls[i%len(halls)], path.configure)
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" serves and knows all VMs", func() bool {
			return v.ready() && v.LiveVMCount() == vms
		})
	}
	return f
}

func (f *isolationFleet) startIsolationWorker(id, hall string) {
	const work = 5 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		fmt.Fprint(w, id)
	}))
	f.t.Cleanup(s.Close)
	f.store.put(kindWorkers, id, worker.Worker{Service: "s", Hall: hall, Slots: 8, Address: strings.TrimPrefix(s.URL, "http://")})
}

// firstTries counts requests that clients sent once, by whether they were served.
type firstTries struct{ sent, served int }

func (n *firstTries) add(served bool) {
	n.sent++
	if served {
		n.served++
	}
}

func (n firstTries) share() float64 {
	if n.sent == 0 {
		return 1
	}
	return float64(n.served) / float64(n.sent)
}

// Requests of the isolation tests, whose paths and affinity keys repeat.
const (
	isolationSendInterval  = 5 * time.Millisecond
	isolationClientTimeout = 1500 * time.Millisecond
	isolationPaths         = 30
)

// load sends requests for a time, spread evenly over the VMs, and counts those to the given
// VMs and to the others.
func (f *isolationFleet) load(span time.Duration, isolated []int) (there, elsewhere firstTries) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		time.Sleep(isolationSendInterval)
		pending.Go(func() {
			vm := rand.IntN(len(f.vms))
			served := f.sendOnce(f.vms[vm], i)
			mu.Lock()
			defer mu.Unlock()
			if slices.Contains(isolated, vm) {
				there.add(served)
			} else {
				elsewhere.add(served)
			}
		})
	}
	pending.Wait()
	return there, elsewhere
}

// sendOnce sends a request without retries and reports whether it was served in time. One
// in ten must run at most once.
func (f *isolationFleet) sendOnce(v *vm, i int) bool {
	path, method := "/read/", http.MethodGet
	if i%10 == 0 {
		path, method = "/once/", http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), isolationClientTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+v.ingressAddr+path+strconv.Itoa(i%isolationPaths), nil)
	req.Host = isolationHost
	req.Header.Set("Id", strconv.FormatUint(rand.Uint64(), 36))
	req.Header.Set("Affinity", strconv.Itoa(i%isolationPaths))
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (f *isolationFleet) setMode(vms []int, mode isolationMode) {
	for _, i := range vms {
		f.paths[i].setMode(mode)
	}
}

// Guards against refusing the clients of VMs that reach no worker while other VMs do, and
// against holding the lost connections of these VMs against workers and requests.
func TestIsolatedVMsServeThroughOthers(t *testing.T) {
	const (
		vms, workers = 9, 15
		// detection is how long after its connections were lost a VM may refuse clients,
		// and recovery how long after they are back.
		detection, isolation, recovery, after = 4 * time.Second, 4 * time.Second, 2 * time.Second, 3 * time.Second
		// minIsolatedRatio is the least ratio of the shares that are served at isolated VMs
		// and at others; minShare is the least share at VMs that reach workers.
		minIsolatedRatio, minShare = 2.0 / 3, 0.98
	)
	some, hall, most := []int{0, 4}, []int{0, 3, 6}, []int{0, 1, 2, 3, 4, 5, 6}
	cases := map[string]struct {
		isolated []int
		mode     isolationMode
	}{
		"some by reset":               {some, isolatedByReset},
		"some by refusal":             {some, isolatedByRefusal},
		"some by silence":             {some, isolatedBySilence},
		"some by silence on accepted": {some, isolatedBySilentAccept},
		"some for new connections":    {some, isolatedForNew},
		"a hall by silence":           {hall, isolatedBySilence},
		"a hall by reset":             {hall, isolatedByReset},
		"most by reset":               {most, isolatedByReset},
		"most by silence":             {most, isolatedBySilence},
		"most by refusal":             {most, isolatedByRefusal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startIsolationFleet(t, vms, workers)
			f.load(time.Second, nil)
			f.setMode(c.isolated, c.mode)
			there, elsewhere := f.load(detection, c.isolated)
			t.Logf("first %s: isolated VMs served %d of %d requests, other VMs %d of %d", detection, there.served, there.sent, elsewhere.served, elsewhere.sent)
			there, elsewhere = f.load(isolation, c.isolated)
			t.Logf("then: isolated VMs served %d of %d requests, other VMs %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
			if elsewhere.share() < minShare {
				t.Errorf("other VMs served %d of %d requests", elsewhere.served, elsewhere.sent)
			}
			if there.share() < minIsolatedRatio*elsewhere.share() {
				t.Errorf("isolated VMs served %d of %d requests, other VMs %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
			}
			for _, v := range f.vms {
				if n := v.QuarantineCount(); n > 0 {
					t.Errorf("%s holds %d requests in quarantine, though none ended a worker", v.name, n)
				}
			}
			f.setMode(c.isolated, notIsolated)
			f.load(recovery, c.isolated)
			there, elsewhere = f.load(after, c.isolated)
			if there.share() < minShare || elsewhere.share() < minShare {
				t.Errorf("afterwards isolated VMs served %d of %d requests, other VMs %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
			}
		})
	}
}

// Guards against losing requests, or blaming workers, while paths come and go, or while the
// store is silent as well.
func TestIsolationsInSeries(t *testing.T) {
	const (
		vms, workers = 9, 15
		span         = 10 * time.Second
		// minIsolatedRatio and minShare are those of TestIsolatedVMsServeThroughOthers.
		minIsolatedRatio, minShare = 2.0 / 3, 0.98
	)
	isolated := []int{0, 3, 4}
	cases := map[string]struct {
		modes []isolationMode
		every time.Duration
		quiet bool // whether the store is silent meanwhile
	}{
		"resets that come and go":     {[]isolationMode{isolatedByReset, notIsolated}, 900 * time.Millisecond, false},
		"silence that comes and goes": {[]isolationMode{isolatedBySilence, notIsolated}, 1700 * time.Millisecond, false},
		"all forms in turn":           {[]isolationMode{isolatedForNew, isolatedByReset, notIsolated, isolatedByRefusal, isolatedBySilence, notIsolated}, 1300 * time.Millisecond, false},
		"reset without the store":     {[]isolationMode{isolatedByReset}, span, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startIsolationFleet(t, vms, workers)
			f.load(time.Second, nil)
			for _, v := range f.vms {
				v.storeClient.setFailure(false, c.quiet)
			}
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for i := 0; ; i++ {
					f.setMode(isolated, c.modes[i%len(c.modes)])
					select {
					case <-stop:
						return
					case <-time.After(c.every):
					}
				}
			}()
			there, elsewhere := f.load(span, isolated)
			close(stop)
			<-stopped
			t.Logf("isolated VMs served %d of %d requests, other VMs %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
			if elsewhere.share() < minShare || there.share() < minIsolatedRatio*elsewhere.share() {
				t.Errorf("isolated VMs served %d of %d requests, other VMs %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
			}
			for _, v := range f.vms {
				if n := v.QuarantineCount(); n > 0 {
					t.Errorf("%s holds %d requests in quarantine, though none ended a worker", v.name, n)
				}
			}
			f.setMode(isolated, notIsolated)
			f.load(4*time.Second, nil)
			if there, elsewhere := f.load(time.Second, isolated); there.share() < minShare || elsewhere.share() < minShare {
				t.Errorf("afterwards isolated VMs served %d of %d requests, other VMs %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
			}
		})
	}
}
