// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
)

// Kinds of objects in memoryStore.
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

// storePageSize is the number of objects per page of the fake store.
const storePageSize = 50

var errStoreUnavailable = errors.New("the store is away")

// memoryStore is an in-memory store. Each VM accesses it through its own storeClient.
type memoryStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	kinds    map[string]map[string]object.Object
	log      map[string][]object.Event
	// compactedAt is the revision up to which the event history has been dropped. While
	// muted is set, changes don't notify watches.
	compactedAt uint64
	muted       bool
	changed     chan struct{}
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
	o := object.Object{Name: name, Version: s.version(), Spec: raw}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object.Object)
	}
	s.kinds[kind][name] = o
	s.log[kind] = append(s.log[kind], object.Event{Object: o})
	s.notifyWatches()
}

// notifyWatches wakes pending watches unless the store is muted. The caller holds mu.
func (s *memoryStore) notifyWatches() {
	if s.muted {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory makes changes without notifying watches and then drops the event history.
func (s *memoryStore) dropHistory(changes func()) {
	s.mu.Lock()
	s.muted = true
	s.mu.Unlock()
	changes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.compactedAt = false, s.revision
	clear(s.log)
	s.notifyWatches()
}

// version returns the version of the last change. The caller holds mu.
func (s *memoryStore) version() object.Version {
	return object.Version{Era: s.era, Revision: s.revision}
}

// current returns an object as the store presents it: its version is of the current era.
// The caller holds mu.
func (s *memoryStore) current(o object.Object) object.Object {
	o.Version.Era = s.era
	return o
}

// currentRevision returns the revision of the last change.
func (s *memoryStore) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// get returns a stored object, or a zero Object if there is none.
func (s *memoryStore) get(kind, name string) object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name]
}

// putRaw writes an object's spec again under a new revision.
func (s *memoryStore) putRaw(kind string, o object.Object) {
	s.put(kind, o.Name, json.RawMessage(o.Spec))
}

func (s *memoryStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.kinds[kind], name)
	s.log[kind] = append(s.log[kind], object.Event{Object: object.Object{Name: name, Version: s.version()}, Deleted: true})
	s.notifyWatches()
}

// storeClient is one VM's access to the store, with injected failures.
type storeClient struct {
	store *memoryStore
	link  *link // Delays calls, if not nil.

	mu          sync.Mutex
	unavailable bool
	hanging     bool
	calls       map[string]int
	// repliesToLose is how many more replies to Replace are lost, before the write if
	// loseBeforeWrite is set, else after it.
	repliesToLose   int
	loseBeforeWrite bool
	// staleState is what stale lists show in place of the current state, if not nil.
	staleState *storeCopy
	// unavailableKind is a kind of which all calls fail, "" for none.
	unavailableKind string
}

// setUnavailableKind makes all calls for one kind fail, or those of none for "".
func (d *storeClient) setUnavailableKind(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailableKind = kind
}

// loseWriteReplies makes the next n calls of Replace fail before or after their write.
func (d *storeClient) loseWriteReplies(n int, before bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repliesToLose, d.loseBeforeWrite = n, before
}

// takeLostReply reports whether this reply is lost, and whether before the write.
func (d *storeClient) takeLostReply() (lost, before bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.repliesToLose == 0 {
		return false, false
	}
	d.repliesToLose--
	return true, d.loseBeforeWrite
}

func (d *storeClient) Get(ctx context.Context, kind, name string) (object.Object, error) {
	if err := d.beginCall(ctx, "get "+kind, time.Second); err != nil {
		return object.Object{}, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	o, ok := d.store.kinds[kind][name]
	if !ok {
		return o, gateway.ErrNotFound
	}
	return d.store.current(o), nil
}

func (d *storeClient) Replace(ctx context.Context, kind, name string, condition object.Version, raw []byte) (object.Version, error) {
	if err := d.beginCall(ctx, "replace "+kind, time.Second); err != nil {
		return object.Version{}, err
	}
	lost, before := d.takeLostReply()
	if lost && before {
		return object.Version{}, errStoreUnavailable
	}
	if d.store.get(kind, name).Version.Revision != condition.Revision {
		return object.Version{}, gateway.ErrConflict
	}
	d.store.put(kind, name, json.RawMessage(raw))
	if lost {
		return object.Version{}, errStoreUnavailable
	}
	return d.store.get(kind, name).Version, nil
}

// ReplaceStatus replaces the whole object, which holds its own status.
func (d *storeClient) ReplaceStatus(ctx context.Context, kind, name string, condition object.Version, status []byte) (object.Version, error) {
	return d.Replace(ctx, kind, name, condition, status)
}

func (d *storeClient) Delete(ctx context.Context, kind, name string) error {
	if err := d.beginCall(ctx, "delete "+kind, time.Second); err != nil {
		return err
	}
	d.store.remove(kind, name)
	return nil
}

func (d *storeClient) setFailure(unavailable, hanging bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable, d.hanging = unavailable, hanging
}

func (d *storeClient) callCount(call string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[call]
}

// beginCall counts a call and applies the injected failures and the link's delay. A call on
// a hanging client fails only at the timeout or when ctx ends.
func (d *storeClient) beginCall(ctx context.Context, call string, timeout time.Duration) error {
	d.mu.Lock()
	d.calls[call]++
	unavailable, hanging := d.unavailable, d.hanging
	if d.unavailableKind != "" && strings.HasSuffix(call, " "+d.unavailableKind) {
		unavailable = true
	}
	d.mu.Unlock()
	if hanging {
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return errStoreUnavailable
	}
	if unavailable {
		return errStoreUnavailable
	}
	if d.link == nil {
		return nil
	}
	const requestSize = 300 // Bytes.
	wait := d.link.reserve(requestSize)
	time.Sleep(min(wait, timeout))
	if wait > timeout {
		return errStoreUnavailable
	}
	return nil
}

// setStaleState sets what stale lists show.
func (d *storeClient) setStaleState(c *storeCopy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.staleState = c
}

func (d *storeClient) List(ctx context.Context, kind string, stale bool) ([]object.Object, object.Version, error) {
	if err := d.beginCall(ctx, "list "+kind, time.Second); err != nil {
		return nil, object.Version{}, err
	}
	d.mu.Lock()
	staleState := d.staleState
	d.mu.Unlock()
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	objects, at := d.store.kinds[kind], d.store.version()
	if stale && staleState != nil {
		objects, at.Revision = staleState.kinds[kind], staleState.revision
	}
	var list []object.Object
	for _, o := range objects {
		list = append(list, d.store.current(o))
	}
	slices.SortFunc(list, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list, at, nil
}

func (d *storeClient) Page(ctx context.Context, kind, after string) ([]object.Object, error) {
	if err := d.beginCall(ctx, "page "+kind, time.Second); err != nil {
		return nil, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var list []object.Object
	for name, o := range d.store.kinds[kind] {
		if name > after {
			list = append(list, d.store.current(o))
		}
	}
	slices.SortFunc(list, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list[:min(len(list), storePageSize)], nil
}

func (d *storeClient) Watch(ctx context.Context, kind string, since object.Version, hold time.Duration) ([]object.Event, object.Version, error) {
	if err := d.beginCall(ctx, "watch "+kind, hold+300*time.Millisecond); err != nil {
		return nil, object.Version{}, err
	}
	deadline := time.After(hold)
	for {
		d.store.mu.Lock()
		var events []object.Event
		for _, e := range d.store.log[kind] {
			if e.Version.Revision > since.Revision {
				events = append(events, e)
			}
		}
		at, changed, compactedAt := d.store.version(), d.store.changed, d.store.compactedAt
		d.store.mu.Unlock()
		if since.Revision < compactedAt || since.Revision > at.Revision {
			return nil, object.Version{}, gateway.ErrHistoryExpired
		}
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, object.Version{}, ctx.Err()
		case <-deadline:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (d *storeClient) Put(ctx context.Context, kind, name string, raw []byte) error {
	if err := d.beginCall(ctx, "put "+kind, time.Second); err != nil {
		return err
	}
	d.store.put(kind, name, json.RawMessage(raw))
	return nil
}

// totalCalls returns the number of calls of all kinds.
func (d *storeClient) totalCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, n := range d.calls {
		sum += n
	}
	return sum
}
