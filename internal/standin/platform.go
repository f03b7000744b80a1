// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package standin holds the small stand-ins for what the platform gives:
// the object API with its VM list, and an upstream.
//
// They exist for tests, measurements and the demo. Each can be told to fail in
// the ways that the users have seen, through its control address.
package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/state/spec"
)

// Faults are the failures that a Platform can be told to show.
type Faults struct {
	// Down drops every connection without an answer.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay spec.Duration `json:"delay"`
	// LoseAnswers drops the answers of this many writes after they took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// LagReads answers reads with the state of this many revisions before.
	LagReads uint64 `json:"lag_reads"`
	// FreezeList keeps the VM list as it is.
	FreezeList bool `json:"freeze_list"`
}

// PlatformConfig sets up a Platform. The zero value is useful.
type PlatformConfig struct {
	// Reads and Writes bound calls a second. Defaults 2000 and 100.
	Reads, Writes float64
}

// Platform is the object API in memory. It is safe for concurrent use.
type Platform struct {
	reads, writes *rate.Limiter

	mu       sync.Mutex
	objects  map[spec.Key]spec.Object
	earlier  map[spec.Key][]spec.Object // older versions, newest last
	revision uint64
	list     spec.VMList
	shown    spec.VMList
	faults   Faults
	changed  chan struct{}
	calls    map[string]int
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	const defaultReads, defaultWrites = 2000, 100
	if cfg.Reads <= 0 {
		cfg.Reads = defaultReads
	}
	if cfg.Writes <= 0 {
		cfg.Writes = defaultWrites
	}
	return &Platform{
		reads:   rate.NewLimiter(rate.Limit(cfg.Reads), int(cfg.Reads)),
		writes:  rate.NewLimiter(rate.Limit(cfg.Writes), int(cfg.Writes)),
		objects: make(map[spec.Key]spec.Object),
		earlier: make(map[spec.Key][]spec.Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// SetFaults replaces the faults shown.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if !f.FreezeList {
		p.shown = p.list
	}
	p.wake()
}

// SetVMs replaces the VM list. The version is set by the platform.
func (p *Platform) SetVMs(vms []spec.VM, leavingUpstreams []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = spec.VMList{Version: p.list.Version + 1, VMs: vms, Leaving: leavingUpstreams}
	if !p.faults.FreezeList {
		p.shown = p.list
	}
}

// Seed writes objects without conditions, as an operator would before a start.
func (p *Platform) Seed(objects ...spec.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range objects {
		p.write(o)
	}
}

// Calls returns how many calls of each sort were answered.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int, len(p.calls))
	for k, v := range p.calls {
		calls[k] = v
	}
	return calls
}

// Handler serves the API under /v1 and the switches under /control.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", p.guard(p.reads, "list", p.listKind))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.guard(p.reads, "get", p.get))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.guard(p.writes, "put", p.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.guard(p.writes, "delete", p.remove))
	mux.HandleFunc("GET /v1/watch", p.guard(p.reads, "watch", p.watch))
	mux.HandleFunc("GET /v1/vms", p.guard(p.reads, "vms", p.vms))
	mux.HandleFunc("PUT /control/faults", p.controlFaults)
	mux.HandleFunc("PUT /control/vms", p.controlVMs)
	return mux
}

// guard shows the faults that concern every call.
func (p *Platform) guard(limit *rate.Limiter, sort string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.calls[sort]++
		p.mu.Unlock()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if f.Delay > 0 {
			select {
			case <-time.After(time.Duration(f.Delay)):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		if !limit.Allow() {
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := spec.Key{Kind: spec.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	p.mu.Lock()
	o, ok := p.lagging(key)
	p.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, o)
}

// lagging returns an object as it was some revisions ago.
func (p *Platform) lagging(key spec.Key) (spec.Object, bool) {
	o, ok := p.objects[key]
	if p.faults.LagReads == 0 || !ok || o.Version+p.faults.LagReads <= p.revision {
		return o, ok
	}
	history := p.earlier[key]
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].Version+p.faults.LagReads <= p.revision {
			return history[i], true
		}
	}
	return spec.Object{}, false
}

func (p *Platform) listKind(w http.ResponseWriter, r *http.Request) {
	kind := spec.Kind(r.PathValue("kind"))
	set := spec.Set{Objects: []spec.Object{}}
	p.mu.Lock()
	for key := range p.objects {
		if o, ok := p.lagging(key); ok && key.Kind == kind && !o.Deleted {
			set.Objects = append(set.Objects, o)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(set.Objects, func(a, b spec.Object) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, set)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, spec.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	o, err := spec.DecodeObject(body)
	if err != nil || string(o.Kind) != r.PathValue("kind") || o.Name != r.PathValue("name") {
		http.Error(w, "malformed object", http.StatusBadRequest)
		return
	}
	o.Operation = r.Header.Get("Operation-Id")
	p.mu.Lock()
	if !p.allowed(o.Key, r) {
		p.mu.Unlock()
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	o = p.write(o)
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer(w, o)
}

// allowed checks If-Match and If-None-Match (RFC 9110, section 13.1).
func (p *Platform) allowed(key spec.Key, r *http.Request) bool {
	o, ok := p.objects[key]
	ok = ok && !o.Deleted
	if r.Header.Get("If-None-Match") == "*" && ok {
		return false
	}
	match := r.Header.Get("If-Match")
	return match == "" || ok && match == etag(o.Version)
}

func (p *Platform) write(o spec.Object) spec.Object {
	const keptVersions = 16
	if old, ok := p.objects[o.Key]; ok {
		history := slices.Concat(p.earlier[o.Key], []spec.Object{old})
		p.earlier[o.Key] = history[max(0, len(history)-keptVersions):]
	}
	p.revision++
	o.Version = p.revision
	p.objects[o.Key] = o
	p.wake()
	return o
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	key := spec.Key{Kind: spec.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	p.mu.Lock()
	o, ok := p.objects[key]
	if ok && !o.Deleted {
		p.write(spec.Object{Key: key, Deleted: true})
	}
	p.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.FormValue("since"), 10, 64)
	if err != nil {
		http.Error(w, "malformed since", http.StatusBadRequest)
		return
	}
	hold, _ := strconv.Atoi(r.FormValue("hold_ms"))
	kinds := strings.Split(r.FormValue("kinds"), ",")
	timeout := time.After(time.Duration(hold) * time.Millisecond)
	for {
		p.mu.Lock()
		c := p.since(since, kinds)
		changed, down := p.changed, p.faults.Down
		p.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(c.Objects) > 0 {
			writeJSON(w, c)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, c)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) since(revision uint64, kinds []string) spread.Changes {
	c := spread.Changes{Since: revision, UpTo: p.revision, Objects: []spec.Object{}}
	for key, o := range p.objects {
		if o.Version > revision && slices.Contains(kinds, string(key.Kind)) {
			c.Objects = append(c.Objects, o)
		}
	}
	slices.SortFunc(c.Objects, func(a, b spec.Object) int { return cmp.Compare(a.Version, b.Version) })
	return c
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	list := p.shown
	p.mu.Unlock()
	tag := etag(list.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func (p *Platform) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, err := spec.DecodeVMList(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(l.VMs, l.Leaving)
}

func answer(w http.ResponseWriter, o spec.Object) {
	w.Header().Set("ETag", etag(o.Version))
	writeJSON(w, o)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
