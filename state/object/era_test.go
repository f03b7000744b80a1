// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/object"
)

// eraStore is a store that can return from an older copy of its state.
type eraStore struct {
	store
	era    uint64
	writes int
	copies []store
}

func (s *eraStore) version() object.Version {
	return object.Version{Era: s.era, Revision: s.revision}
}

// put writes an object with content that differs from all others.
func (s *eraStore) put(name string) {
	s.store.put(name)
	s.writes++
	o := s.objects[name]
	o.Version.Era, o.Spec = s.era, fmt.Appendf(nil, "write %d", s.writes)
	s.objects[name] = o
	s.log[len(s.log)-1] = object.Event{Object: o}
}

func (s *eraStore) save() {
	s.copies = append(s.copies, store{revision: s.revision, objects: maps.Clone(s.objects), log: slices.Clone(s.log)})
}

func (s *eraStore) returnFrom(i int) {
	c := s.copies[i]
	s.store = store{revision: c.revision, objects: maps.Clone(c.objects), log: slices.Clone(c.log)}
	s.copies = s.copies[:i+1]
	s.era++
}

// events returns the changes after a revision as the store sends them now.
func (s *eraStore) events(since uint64) []object.Event {
	events := slices.Clone(s.log[since:])
	for i := range events {
		events[i].Version.Era = s.era
	}
	return events
}

func (s *eraStore) list() []object.Object {
	list := s.store.list()
	for i := range list {
		list[i].Version.Era = s.era
	}
	return list
}

// fullDelta returns a list of the store as a delta.
func (s *eraStore) fullDelta() object.Delta {
	d := object.Delta{Kind: kind, Full: true, UpTo: s.version()}
	for _, o := range s.list() {
		d.Events = append(d.Events, object.Event{Object: o})
	}
	return d
}

func contentDifference(held []object.Object, s *eraStore) string {
	if len(held) != len(s.objects) {
		return fmt.Sprintf("%d objects held, %d in the store", len(held), len(s.objects))
	}
	for _, o := range held {
		if !bytes.Equal(s.objects[o.Name].Spec, o.Spec) {
			return fmt.Sprintf("%s is %q, in the store %q", o.Name, o.Spec, s.objects[o.Name].Spec)
		}
	}
	return ""
}

// settle brings a replica up to date as a VM does and describes any difference from the
// store.
func (s *eraStore) settle(r *object.Replica) string {
	held, known := r.CompleteUpTo(kind)
	switch {
	case !known:
		return ""
	case held.Era != s.era || r.Inconsistent(kind):
		r.Reset(kind, s.list(), s.version())
	default:
		r.Apply(kind, held, s.events(held.Revision), s.version())
	}
	return contentDifference(r.Objects(kind), s)
}

// Replicas must hold what the store holds in its newest era, whatever answers cross.
func TestReplicasConvergeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &eraStore{store: store{objects: make(map[string]object.Object)}}
		s.save()
		var replicas []*object.Replica
		for range 3 {
			replicas = append(replicas, object.NewReplica(object.ReplicaConfig{}))
		}
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		var earlier []object.Delta
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "replica")
			r := replicas[i]
			held, known := r.CompleteUpTo(kind)
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				s.put(name.Draw(t, "name"))
			case 2:
				s.remove(name.Draw(t, "name"))
			case 3:
				earlier = append(earlier, s.fullDelta())
				r.Merge(s.fullDelta())
			case 4:
				if known && held.Era == s.era && held.Revision < s.revision {
					r.Apply(kind, held, s.events(held.Revision), s.version())
				}
			case 5:
				if d, ok := replicas[(i+1)%3].Since(kind, held, known); ok {
					earlier = append(earlier, d)
					r.Merge(d)
				}
			case 6:
				s.save()
			case 7:
				s.returnFrom(rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy"))
			default:
				if len(earlier) > 0 {
					r.Merge(earlier[rapid.IntRange(0, len(earlier)-1).Draw(t, "late")])
				}
			}
			if after, _ := r.CompleteUpTo(kind); after.Before(held) {
				t.Fatalf("the version decreased from %v to %v", held, after)
			}
		}
		for i, r := range replicas {
			if fault := s.settle(r); fault != "" {
				t.Fatalf("replica %d: %s", i, fault)
			}
		}
	})
}

// Guards against a confirmation of a state that the replica has not taken.
func TestConfirmationNeedsTheState(t *testing.T) {
	begin := time.Unix(1000, 0)
	held := object.Version{Era: 2, Revision: 50}
	cases := map[string]struct {
		version object.Version
		want    bool
	}{
		"the state held":              {held, true},
		"an earlier state of the era": {object.Version{Era: 2, Revision: 40}, true},
		"a later state of the era":    {object.Version{Era: 2, Revision: 51}, false},
		"an earlier era":              {object.Version{Era: 1, Revision: 90}, false},
		"a later era":                 {object.Version{Era: 3, Revision: 10}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := object.NewReplica(object.ReplicaConfig{})
			r.Reset(kind, nil, held)
			if got := r.MarkConfirmed(kind, c.version, begin); got != c.want || got == r.ConfirmedAt(kind).IsZero() {
				t.Errorf("confirmed %t at %s, want %t", got, r.ConfirmedAt(kind), c.want)
			}
		})
	}
}

// numbered returns an object whose content is a number that its writer raises.
func numbered(v object.Version, n byte) object.Object {
	return object.Object{Name: "o", Version: v, Spec: []byte{n}}
}

// Guards against a state that goes back with the store, or stays although it is over.
func TestCarriedStates(t *testing.T) {
	const missing, deleted = 2 * time.Second, 5 * time.Second
	before, copied := object.Version{Era: 1, Revision: 20}, object.Version{Era: 2, Revision: 10}
	v := func(revision uint64) object.Version { return object.Version{Era: 2, Revision: revision} }
	old := numbered(object.Version{Era: 1, Revision: 15}, 5)
	cases := map[string]struct {
		// held are the objects before the return, removed one that was deleted before it.
		held    []object.Object
		removed string
		// stored are those of the copy, event is a change after it.
		stored []object.Object
		event  *object.Event
		after  time.Duration
		// want is the number of "o" in use, 0 for none.
		want byte
	}{
		"missing":                     {held: []object.Object{old}, want: 5},
		"missing for too long":        {held: []object.Object{old}, after: missing, want: 0},
		"older":                       {held: []object.Object{old}, stored: []object.Object{numbered(v(8), 3)}, after: time.Hour, want: 5},
		"older, then written again":   {held: []object.Object{old}, stored: []object.Object{numbered(v(8), 3)}, event: &object.Event{Object: numbered(v(11), 6)}, want: 6},
		"older, written in between":   {held: []object.Object{old}, stored: []object.Object{numbered(v(8), 3)}, event: &object.Event{Object: numbered(v(11), 4)}, want: 5},
		"older, then removed":         {held: []object.Object{old}, stored: []object.Object{numbered(v(8), 3)}, event: &object.Event{Object: object.Object{Name: "o", Version: v(8)}, Deleted: true}, want: 0},
		"the same number, new value":  {held: []object.Object{numbered(object.Version{Era: 1, Revision: 8}, 5)}, stored: []object.Object{numbered(v(9), 7)}, want: 7},
		"deleted before":              {held: []object.Object{old}, removed: "o", stored: []object.Object{numbered(v(8), 3)}, want: 0},
		"deleted before, for long":    {held: []object.Object{old}, removed: "o", stored: []object.Object{numbered(v(8), 3)}, after: deleted, want: 3},
		"deleted, then written again": {held: []object.Object{old}, removed: "o", stored: []object.Object{numbered(v(8), 3)}, event: &object.Event{Object: numbered(v(11), 1)}, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := object.NewReplica(object.ReplicaConfig{Now: func() time.Time { return now }, Policy: func(string) object.Policy {
				return object.Policy{Missing: missing, Deleted: deleted, Newer: func(a, b object.Object) bool { return a.Spec[0] > b.Spec[0] }}
			}})
			r.Reset(kind, c.held, before)
			if c.removed != "" {
				r.Apply(kind, before, []object.Event{{Object: object.Object{Name: c.removed, Version: before}, Deleted: true}}, object.Version{Era: 1, Revision: 21})
			}
			r.Reset(kind, c.stored, copied)
			if c.event != nil {
				r.Apply(kind, copied, []object.Event{*c.event}, v(11))
			}
			now = now.Add(c.after)
			r.Expire(kind)
			got := byte(0)
			for _, o := range r.Objects(kind) {
				got = o.Spec[0]
			}
			if got != c.want {
				t.Errorf("%d is in use, want %d", got, c.want)
			}
		})
	}
}

// Guards against carried states that return to a VM from its peers after their end.
func TestCarriedStatesOfPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := object.ReplicaConfig{Now: func() time.Time { return now }, Policy: func(string) object.Policy {
		return object.Policy{Missing: 2 * time.Second, Newer: func(a, b object.Object) bool { return a.Spec[0] > b.Spec[0] }}
	}}
	first, second := object.NewReplica(cfg), object.NewReplica(cfg)
	first.Reset(kind, []object.Object{numbered(object.Version{Era: 1, Revision: 15}, 5)}, object.Version{Era: 1, Revision: 20})
	first.Reset(kind, nil, object.Version{Era: 2, Revision: 10})
	second.Reset(kind, nil, object.Version{Era: 2, Revision: 10})
	now = now.Add(1500 * time.Millisecond)
	if !second.TakeCarried(kind, first.Carried(kind)) || len(second.Objects(kind)) != 1 {
		t.Fatal("the second replica did not take the state")
	}
	now = now.Add(600 * time.Millisecond)
	for _, r := range []*object.Replica{first, second} {
		r.Expire(kind)
		if len(r.Objects(kind)) != 0 || len(r.Carried(kind)) != 0 {
			t.Error("the state is in use after its end")
		}
	}
	if second.TakeCarried(kind, []object.Carried{{Object: numbered(object.Version{Era: 2, Revision: 5}, 9), Left: time.Second}}) {
		t.Error("the replica took a state of its own era")
	}
}

// Guards against objects that come back with a new era, since their removal became known by
// other means than the store's changes.
func TestEndCarriedOutlastsNextEra(t *testing.T) {
	const kind = "k"
	entry := object.Object{Name: "a", Version: object.Version{Revision: 5}, Spec: []byte(`1`)}
	cases := map[string]struct {
		copied []object.Object
		after  time.Duration
		used   bool
	}{
		"copy without the object":       {nil, 0, false},
		"copy with the object":          {[]object.Object{entry}, 0, false},
		"copy with the object, later":   {[]object.Object{entry}, time.Minute, true},
		"without the object, later":     {nil, time.Minute, true},
		"copy with a newer object, now": {[]object.Object{{Name: "a", Version: object.Version{Era: 1, Revision: 9}, Spec: []byte(`2`)}}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := object.NewReplica(object.ReplicaConfig{
				Now:    func() time.Time { return now },
				Policy: func(string) object.Policy { return object.Policy{Missing: object.Unlimited, Deleted: object.Unlimited} },
			})
			r.Reset(kind, []object.Object{entry}, object.Version{Revision: 6})
			r.EndCarried(kind, entry.Name)
			now = now.Add(c.after)
			r.Reset(kind, c.copied, object.Version{Era: 1, Revision: 9})
			if used := len(r.Objects(kind)) == 1; used != c.used {
				t.Errorf("the object is in use: %t, want %t", used, c.used)
			}
		})
	}
}
