// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/state/workspace"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Kinds of the fake store.
const (
	kindConfig  = "config"
	kindWorkers = "workers"
	kindClosed  = "closed"
	kindMembers = "members"
	kindTraffic = "traffic"
	kindPlans   = "plans"

	kindQuarantine = "quarantine"
	kindRollouts   = "rollouts"
)

// storePage is how many objects the fake store lists at a time.
const storePage = 50

var errAway = errors.New("the store is away")

// memoryStore is a store in memory. Each VM has a door of its own to it, that
// can be shut.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object.Object
	log      map[string][]object.Event
	// forgotten is the revision up to which the history is dropped.
	forgotten uint64
	deaf      bool
	changed   chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{kinds: make(map[string]map[string]object.Object), log: make(map[string][]object.Event), changed: make(chan struct{})}
}

func (s *memoryStore) put(kind, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object.Object{Name: name, Revision: s.revision, Spec: raw}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object.Object)
	}
	s.kinds[kind][name] = o
	s.log[kind] = append(s.log[kind], object.Event{Object: o})
	s.wake()
}

// wake lets the watches look again, unless they are to hear nothing.
func (s *memoryStore) wake() {
	if s.deaf {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory makes changes of which no watch hears, and then forgets them.
func (s *memoryStore) dropHistory(changes func()) {
	s.mu.Lock()
	s.deaf = true
	s.mu.Unlock()
	changes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.forgotten = false, s.revision
	clear(s.log)
	s.wake()
}

// atRevision returns the revision of the last change.
func (s *memoryStore) atRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// get returns an object as it is.
func (s *memoryStore) get(kind, name string) object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name]
}

// putRaw writes an object anew with the content that it had.
func (s *memoryStore) putRaw(kind string, o object.Object) {
	s.put(kind, o.Name, json.RawMessage(o.Spec))
}

func (s *memoryStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.kinds[kind], name)
	s.log[kind] = append(s.log[kind], object.Event{Object: object.Object{Name: name, Revision: s.revision}, Deleted: true})
	s.wake()
}

// door is one VM's way to the store.
type door struct {
	store *memoryStore
	link  *link // Calls wait for it; nil is none.

	mu     sync.Mutex
	shut   bool
	silent bool
	calls  map[string]int
	// lose breaks off so many answers to Replace, before or after the write.
	lose   int
	before bool
}

// loseWrites loses the answers to the next writes under a condition.
func (d *door) loseWrites(n int, before bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lose, d.before = n, before
}

// loses reports whether this answer is lost, and whether before the write.
func (d *door) loses() (lost, before bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lose == 0 {
		return false, false
	}
	d.lose--
	return true, d.before
}

func (d *door) Get(ctx context.Context, kind, name string) (object.Object, error) {
	if err := d.pass(ctx, "get "+kind, time.Second); err != nil {
		return object.Object{}, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	o, ok := d.store.kinds[kind][name]
	if !ok {
		return o, gateway.ErrNotFound
	}
	return o, nil
}

func (d *door) Replace(ctx context.Context, kind, name string, revision uint64, raw []byte) (uint64, error) {
	if err := d.pass(ctx, "replace "+kind, time.Second); err != nil {
		return 0, err
	}
	lost, before := d.loses()
	if lost && before {
		return 0, errAway
	}
	d.store.mu.Lock()
	held := d.store.kinds[kind][name].Revision
	d.store.mu.Unlock()
	if held != revision {
		return 0, gateway.ErrConflict
	}
	d.store.put(kind, name, json.RawMessage(raw))
	if lost {
		return 0, errAway
	}
	return d.store.get(kind, name).Revision, nil
}

// ReplaceStatus writes the whole order: here it holds its own status.
func (d *door) ReplaceStatus(ctx context.Context, kind, name string, revision uint64, status []byte) (uint64, error) {
	return d.Replace(ctx, kind, name, revision, status)
}

func (d *door) Delete(ctx context.Context, kind, name string) error {
	if err := d.pass(ctx, "delete "+kind, time.Second); err != nil {
		return err
	}
	d.store.remove(kind, name)
	return nil
}

func (d *door) set(shut, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut, d.silent = shut, silent
}

func (d *door) count(call string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[call]
}

// pass counts a call. A silent door lets none back before its time is over.
func (d *door) pass(ctx context.Context, call string, patience time.Duration) error {
	d.mu.Lock()
	d.calls[call]++
	shut, silent := d.shut, d.silent
	d.mu.Unlock()
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(patience):
		}
		return errAway
	}
	if shut {
		return errAway
	}
	if d.link == nil {
		return nil
	}
	const question = 300 // Bytes.
	wait := d.link.reserve(question)
	time.Sleep(min(wait, patience))
	if wait > patience {
		return errAway
	}
	return nil
}

func (d *door) List(ctx context.Context, kind string, _ bool) ([]object.Object, uint64, error) {
	if err := d.pass(ctx, "list "+kind, time.Second); err != nil {
		return nil, 0, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var list []object.Object
	for _, o := range d.store.kinds[kind] {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list, d.store.revision, nil
}

func (d *door) Page(ctx context.Context, kind, after string) ([]object.Object, error) {
	if err := d.pass(ctx, "page "+kind, time.Second); err != nil {
		return nil, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var list []object.Object
	for name, o := range d.store.kinds[kind] {
		if name > after {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list[:min(len(list), storePage)], nil
}

func (d *door) Watch(ctx context.Context, kind string, since uint64, hold time.Duration) ([]object.Event, uint64, error) {
	if err := d.pass(ctx, "watch "+kind, hold+300*time.Millisecond); err != nil {
		return nil, 0, err
	}
	deadline := time.After(hold)
	for {
		d.store.mu.Lock()
		var events []object.Event
		for _, e := range d.store.log[kind] {
			if e.Revision > since {
				events = append(events, e)
			}
		}
		at, changed, forgotten := d.store.revision, d.store.changed, d.store.forgotten
		d.store.mu.Unlock()
		if since < forgotten {
			return nil, 0, gateway.ErrHistoryGone
		}
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (d *door) Put(ctx context.Context, kind, name string, raw []byte) error {
	if err := d.pass(ctx, "put "+kind, time.Second); err != nil {
		return err
	}
	d.store.put(kind, name, json.RawMessage(raw))
	return nil
}

// codec stores the product's own types as JSON.
type codec struct{}

func (codec) ConfigKind() string  { return kindConfig }
func (codec) WorkerKind() string  { return kindWorkers }
func (codec) ClosedKind() string  { return kindClosed }
func (codec) MemberKind() string  { return kindMembers }
func (codec) TrafficKind() string { return kindTraffic }
func (codec) PlanKind() string    { return kindPlans }

func (codec) QuarantineKind() string { return kindQuarantine }

func (codec) RolloutKind() string { return kindRollouts }

func (codec) Rollout(o object.Object) (rollout.Order, error) {
	var order rollout.Order
	err := json.Unmarshal(o.Spec, &order)
	order.Revision = o.Revision
	return order, err
}

func (codec) EncodeRollout(o rollout.Order) ([]byte, error) { return json.Marshal(o) }

// keyedConfig is a configuration with workspaces, or without if Spaces is nil.
type keyedConfig struct {
	route.Config
	Spaces []workspace.Config
}

func (codec) Routes(o object.Object) (route.Config, error) {
	var cfg keyedConfig
	if err := json.Unmarshal(o.Spec, &cfg); err != nil {
		return route.Config{}, err
	}
	if cfg.Spaces == nil {
		return cfg.Config, nil
	}
	var err error
	cfg.Workspaces, err = workspace.NewDirectory(cfg.Spaces)
	return cfg.Config, err
}

func (codec) Worker(o object.Object) (worker.Worker, time.Duration, error) {
	var w worker.Worker
	err := json.Unmarshal(o.Spec, &w)
	w.ID, w.Revision = o.Name, o.Revision
	return w, 0, err
}

func (codec) MemberName(vm spec.VM) string { return vm.Hall + "." + vm.ID }

func (codec) EncodeMember(vm spec.VM) ([]byte, error) { return json.Marshal(vm) }

func (codec) Members(objects []object.Object) []spec.VM {
	var vms []spec.VM
	for _, o := range objects {
		var vm spec.VM
		if json.Unmarshal(o.Spec, &vm) == nil {
			vms = append(vms, vm)
		}
	}
	return vms
}

// dialect has no headers but the time that is left.
type dialect struct{}

func (dialect) RequestID(r *http.Request) string { return r.Header.Get("Id") }

func (dialect) Patience(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.Atoi(r.Header.Get("Wait"))
	return time.Duration(ms) * time.Millisecond, err == nil
}

func (dialect) APIKey(r *http.Request) (string, bool) {
	return r.Header.Get("Api-Key"), r.Header.Get("Api-Key") != ""
}

func (dialect) SetWorkspace(h http.Header, name string) {
	h.Del("Api-Key")
	h.Set("Workspace", name)
}
func (dialect) Key(*http.Request) (string, bool)           { return "", false }
func (dialect) Address(http.Header, string, time.Duration) {}
func (dialect) Load(h http.Header) (running, waiting int, ok bool) {
	running, err := strconv.Atoi(h.Get("Running"))
	return running, 0, err == nil
}

func (dialect) Leaving(h http.Header) bool { return h.Get("Leaving") != "" }

func (dialect) Rest(status int, h http.Header) (time.Duration, bool) {
	rest, err := time.ParseDuration(h.Get("Rest"))
	return rest, err == nil && status == http.StatusServiceUnavailable
}

func (dialect) RateLimit(h http.Header) (float64, error) {
	if h.Get("Limit") == "" {
		return math.Inf(1), nil
	}
	return strconv.ParseFloat(h.Get("Limit"), 64)
}

func (dialect) Refused(res *http.Response) (upstream.Kind, bool) {
	if res.Header.Get("Not-Run") != "" {
		return upstream.KindShed, true
	}
	return upstream.KindWrongWorker, res.StatusCode == http.StatusMisdirectedRequest
}
func (dialect) Belongs(_ *upstream.Request, _ *http.Response) bool { return true }
func (dialect) WithoutLength() bool                                { return true }

var (
	_ gateway.Store   = (*door)(nil)
	_ gateway.Codec   = codec{}
	_ gateway.Dialect = dialect{}
)

// countAll returns how many calls were made.
func (d *door) countAll() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, n := range d.calls {
		sum += n
	}
	return sum
}
