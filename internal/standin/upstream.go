// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Headers by which a request and its answer are matched.
const (
	// HeaderMark is repeated in the answer.
	HeaderMark = "X-Mark"
	// HeaderKey names a request whose runs are counted.
	HeaderKey = "X-Key"
)

// UpstreamFaults are the failures that an Upstream can be told to show.
type UpstreamFaults struct {
	// Leaving refuses new work and says so.
	Leaving bool `json:"leaving"`
	// Quiet hides Leaving from the health and load endpoints.
	Quiet bool `json:"quiet"`
	// Unhealthy answers health checks with 500.
	Unhealthy bool `json:"unhealthy"`
	// LoadSays is the in-flight count that the load endpoint gives, if set.
	LoadSays *int `json:"load_says"`
	// Slow multiplies the time of each request, if above 0.
	Slow float64 `json:"slow"`
	// BreakAnswers breaks this many answers off in the middle.
	BreakAnswers int64 `json:"break_answers"`
	// DropRequests runs this many requests, then closes without an answer.
	DropRequests int64 `json:"drop_requests"`
	// CloseKept closes this many kept connections when their next request
	// has come, without running it.
	CloseKept int64 `json:"close_kept"`
}

// UpstreamConfig sets up an Upstream. The zero value is useful.
type UpstreamConfig struct {
	ID string
	// Slots is how many requests run at once; more are shed. Default 5.
	Slots int
	// Connections bounds open connections. Default 130.
	Connections int
	// Time is how long a request takes when warm. Default 5 ms.
	Time time.Duration
	// ColdFactor is how much longer it takes with an empty cache. Default 4.
	ColdFactor float64
	// ColdAnswers is how many answers warm the cache. Default 20.
	ColdAnswers int
	// WarmStart begins with a warm cache.
	WarmStart bool
}

// Upstream is a worker of a service. It is safe for concurrent use.
type Upstream struct {
	cfg      UpstreamConfig
	start    uint64
	inFlight atomic.Int64
	peak     atomic.Int64
	answered atomic.Uint64
	shed     atomic.Uint64
	canceled atomic.Uint64
	lastWork atomic.Int64
	refused  atomic.Int64
	// lastRefused is when it last refused because it leaves, in Unix ms.
	lastRefused atomic.Int64
	open        atomic.Int64

	mu      sync.Mutex
	faults  UpstreamFaults
	runs    map[string]int
	origins map[string]int
}

// NewUpstream returns a worker.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	const defaultSlots, defaultConnections, defaultTime, defaultFactor, defaultAnswers = 5, 130, 5 * time.Millisecond, 4, 20
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.Time <= 0 {
		cfg.Time = defaultTime
	}
	if cfg.ColdFactor <= 0 {
		cfg.ColdFactor = defaultFactor
	}
	if cfg.ColdAnswers <= 0 {
		cfg.ColdAnswers = defaultAnswers
	}
	u := &Upstream{cfg: cfg, start: uint64(time.Now().UnixMicro()), runs: make(map[string]int), origins: make(map[string]int)}
	if cfg.WarmStart {
		u.answered.Store(uint64(cfg.ColdAnswers))
	}
	return u
}

// SetFaults replaces the faults shown.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Counts is what a worker counted since its start.
type Counts struct {
	ID       string         `json:"id"`
	Answered uint64         `json:"answered"`
	Shed     uint64         `json:"shed"`
	Canceled uint64         `json:"canceled"`
	Peak     int64          `json:"peak"`
	LastWork int64          `json:"last_work_ms"`
	Runs     map[string]int `json:"runs"`
	Origins  map[string]int `json:"origins"`
}

// Counts returns a snapshot. Runs holds how often each key was run, Origins how
// many requests came whose mark begins with an origin and "~".
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Counts{
		ID: u.cfg.ID, Answered: u.answered.Load(), Shed: u.shed.Load(), Canceled: u.canceled.Load(),
		Peak: u.peak.Load(), LastWork: u.lastWork.Load(),
		Runs: maps.Clone(u.runs), Origins: maps.Clone(u.origins),
	}
}

// Handler serves requests, /load, /health, /counts and /control/faults.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", u.load)
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Counts()) })
	mux.HandleFunc("PUT /control/faults", u.control)
	mux.HandleFunc("/", u.serve)
	return mux
}

// ConnState keeps the limit on connections, as an http.Server's hook.
func (u *Upstream) ConnState(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if u.open.Add(1) > int64(u.cfg.Connections) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		u.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	inFlight := int(u.inFlight.Load())
	if f.LoadSays != nil {
		inFlight = *f.LoadSays
	}
	writeJSON(w, map[string]any{
		"start": u.start, "in_flight": inFlight, "slots": u.cfg.Slots,
		"leaving": f.Leaving && !f.Quiet, "answered": u.answered.Load(),
	})
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	leaving := f.Leaving && !f.Quiet
	switch {
	case f.Unhealthy:
		w.WriteHeader(http.StatusInternalServerError)
	case leaving:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]bool{"leaving": leaving})
}

func (u *Upstream) control(w http.ResponseWriter, r *http.Request) {
	var f UpstreamFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(f)
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	f := u.takeFaults()
	if f.CloseKept > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.Leaving {
		u.lastRefused.Store(time.Now().UnixMilli())
		u.refused.Add(1)
		refuse(w, upstream.RefusedLeaving)
		return
	}
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	if n > int64(u.cfg.Slots) {
		u.shed.Add(1)
		refuse(w, upstream.RefusedShed)
		return
	}
	u.raisePeak(n)
	u.lastWork.Store(time.Now().UnixMilli())
	u.count(r)
	sum, size, err := digest(r.Body)
	if err != nil || !u.work(r, f) {
		u.canceled.Add(1)
		panic(http.ErrAbortHandler)
	}
	u.answered.Add(1)
	if f.DropRequests > 0 {
		panic(http.ErrAbortHandler)
	}
	u.answer(w, r, f, sum, size)
}

// Origin returns how many requests of an origin were run.
func (u *Upstream) Origin(origin string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.origins[origin]
}

// RefusedSince returns how many requests it refused because it leaves, if the
// last of them came after a time, else 0.
func (u *Upstream) RefusedSince(t time.Time) int {
	if u.lastRefused.Load() < t.UnixMilli() {
		return 0
	}
	return int(u.refused.Load())
}

// InFlight returns how many requests are under way.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

func (u *Upstream) count(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if key := r.Header.Get(HeaderKey); key != "" {
		u.runs[key]++
	}
	if origin, _, ok := strings.Cut(r.Header.Get(HeaderMark), "~"); ok {
		u.origins[origin]++
	}
}

// takeFaults returns the faults for one request and uses up the counted ones.
func (u *Upstream) takeFaults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.faults
	u.faults.BreakAnswers = max(0, f.BreakAnswers-1)
	u.faults.DropRequests = max(0, f.DropRequests-1)
	u.faults.CloseKept = max(0, f.CloseKept-1)
	return f
}

func (u *Upstream) raisePeak(n int64) {
	for {
		peak := u.peak.Load()
		if n <= peak || u.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

func refuse(w http.ResponseWriter, why string) {
	w.Header().Set(upstream.HeaderRefused, why)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func digest(in io.Reader) (sum uint64, size int64, err error) {
	h := xxhash.New()
	size, err = io.Copy(h, in)
	return h.Sum64(), size, err
}

// work takes the time that the request needs. It returns false if the request
// was cancelled or its deadline would pass.
func (u *Upstream) work(r *http.Request, f UpstreamFaults) bool {
	took := u.cfg.Time
	if text := r.Header.Get("X-Work"); text != "" {
		if d, err := time.ParseDuration(text); err == nil {
			took = d
		}
	}
	left := 1 - float64(u.answered.Load())/float64(u.cfg.ColdAnswers)
	took = time.Duration(float64(took) * (1 + (u.cfg.ColdFactor-1)*max(left, 0)))
	if f.Slow > 0 {
		took = time.Duration(float64(took) * f.Slow)
	}
	// Spread by a fifth, as no two requests are alike.
	took += time.Duration((rand.Float64() - 0.5) / 2.5 * float64(took))
	if limit, err := strconv.Atoi(r.Header.Get(upstream.HeaderTimeout)); err == nil {
		took = min(took, time.Duration(limit)*time.Millisecond)
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Receipt is the answer to a request with a body.
type Receipt struct {
	Mark  string `json:"mark"`
	Key   string `json:"key,omitempty"`
	Bytes int64  `json:"bytes"`
	Sum   uint64 `json:"sum"`
	By    string `json:"by"`
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, f UpstreamFaults, sum uint64, size int64) {
	mark := r.Header.Get(HeaderMark)
	w.Header().Set(HeaderMark, mark)
	var body []byte
	if r.Method == http.MethodGet {
		want, _ := strconv.Atoi(r.FormValue("size"))
		body = Fill(mark, min(max(want, 1), spec.MaxObjectBytes))
	} else {
		body, _ = json.Marshal(Receipt{Mark: mark, Key: r.Header.Get(HeaderKey), Bytes: size, Sum: sum, By: u.cfg.ID})
	}
	if r.FormValue("chunked") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if f.BreakAnswers > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Fill returns size bytes made of a mark, so that a part of another answer shows.
func Fill(mark string, size int) []byte {
	unit := mark + "."
	return []byte(strings.Repeat(unit, size/len(unit)+1)[:size])
}
