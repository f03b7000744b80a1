// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/object"
)

const kind = "things"

// at returns the version at a revision of a store that reports no era.
func at(revision uint64) object.Version { return object.Version{Revision: revision} }

// store is the reference that replicas follow. Every change has a revision.
type store struct {
	revision uint64
	objects  map[string]object.Object
	log      []object.Event
}

func (s *store) put(name string) {
	s.revision++
	o := object.Object{Name: name, Version: at(s.revision), Spec: fmt.Appendf(nil, "%d", s.revision)}
	s.objects[name] = o
	s.log = append(s.log, object.Event{Object: o})
}

// remove logs the revision of the object's last change, as the platform's store
// does, not that of the deletion.
func (s *store) remove(name string) {
	o, ok := s.objects[name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, name)
	s.log = append(s.log, object.Event{Object: object.Object{Name: name, Version: o.Version}, Deleted: true})
}

func (s *store) list() []object.Object {
	list := make([]object.Object, 0, len(s.objects))
	for _, o := range s.objects {
		list = append(list, o)
	}
	return list
}

// listInPages returns a list whose first page, with the names up to "a", is older
// than the second.
func listInPages(first, second []object.Object) []object.Object {
	var list []object.Object
	for _, o := range first {
		if o.Name <= "a" {
			list = append(list, o)
		}
	}
	for _, o := range second {
		if o.Name > "a" {
			list = append(list, o)
		}
	}
	return list
}

func difference(r *object.Replica, s *store) string {
	held := r.Objects(kind)
	if len(held) != len(s.objects) {
		return fmt.Sprintf("%d objects held, %d in the store", len(held), len(s.objects))
	}
	for _, o := range held {
		if s.objects[o.Name].Version.Revision != o.Version.Revision {
			return "different revision of " + o.Name
		}
	}
	return ""
}

// catchUp applies the changes that a replica lacks and describes any difference
// from the store.
func catchUp(r *object.Replica, s *store) string {
	held, known := r.CompleteUpTo(kind)
	if !known {
		return ""
	}
	if held.Revision < s.revision {
		r.Apply(kind, held, s.log[held.Revision:], at(s.revision))
	}
	return difference(r, s)
}

// Replicas must converge on the store's state whatever the order of deltas.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{objects: make(map[string]object.Object)}
		replicas := []*object.Replica{object.NewReplica(object.ReplicaConfig{}), object.NewReplica(object.ReplicaConfig{}), object.NewReplica(object.ReplicaConfig{})}
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		var earlierDeltas []object.Delta
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "replica")
			r := replicas[i]
			held, known := r.CompleteUpTo(kind)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.put(name.Draw(t, "name"))
			case 2:
				s.remove(name.Draw(t, "name"))
			case 3:
				r.Reset(kind, s.list(), at(s.revision))
			case 7:
				first, firstAt := s.list(), s.revision
				s.put(name.Draw(t, "name"))
				s.remove(name.Draw(t, "name"))
				r.Reset(kind, object.ApplyEvents(listInPages(first, s.list()), s.log[firstAt:]), at(s.revision))
			case 4:
				if from := held.Revision; known && from < uint64(len(s.log)) {
					to := from + uint64(rapid.IntRange(1, len(s.log)-int(from)).Draw(t, "to"))
					r.Apply(kind, held, s.log[from:to], at(to))
				}
			case 5:
				if d, ok := replicas[(i+1)%3].Since(kind, held, known); ok {
					earlierDeltas = append(earlierDeltas, d)
					r.Merge(d)
				}
			default:
				if len(earlierDeltas) > 0 {
					r.Merge(earlierDeltas[rapid.IntRange(0, len(earlierDeltas)-1).Draw(t, "late")])
				}
			}
			if after, _ := r.CompleteUpTo(kind); after.Before(held) {
				t.Fatalf("replica version decreased from %v to %v", held, after)
			}
		}
		for i, r := range replicas {
			if r.Inconsistent(kind) {
				t.Fatalf("replica %d is inconsistent", i)
			}
			if fault := catchUp(r, s); fault != "" {
				t.Fatalf("replica %d: %s", i, fault)
			}
		}
	})
}

// A peer must receive a change that its revision claims to include but the watch
// dropped.
func TestPeersGetChangesThatWatchMissed(t *testing.T) {
	for name, missed := range map[string]object.Object{
		"a change":     {Name: "a", Version: at(99), Spec: []byte("leaving")},
		"a new object": {Name: "b", Version: at(99), Spec: []byte("closed")},
	} {
		t.Run(name, func(t *testing.T) {
			old := object.Object{Name: "a", Version: at(40), Spec: []byte("ready")}
			watcher, peer := object.NewReplica(object.ReplicaConfig{}), object.NewReplica(object.ReplicaConfig{})
			for _, r := range []*object.Replica{watcher, peer} {
				r.Reset(kind, []object.Object{old}, at(90))
				r.Apply(kind, at(90), nil, at(100)) // The watch dropped the change at 99.
			}
			list := []object.Object{missed}
			if missed.Name != old.Name {
				list = append(list, old)
			}
			watcher.Reset(kind, list, at(105))
			held, known := peer.CompleteUpTo(kind)
			d, ok := watcher.Since(kind, held, known)
			if !ok || !peer.Merge(d) {
				t.Fatalf("the delta changed nothing at the peer: %+v", d)
			}
			for _, o := range peer.Objects(kind) {
				if o.Name == missed.Name && o.Version.Revision == missed.Version.Revision {
					return
				}
			}
			t.Errorf("the peer holds %+v", peer.Objects(kind))
		})
	}
}

// A peer must learn of the deletion of an object that no list contained.
func TestDeletionBetweenLists(t *testing.T) {
	watcher, peer := object.NewReplica(object.ReplicaConfig{}), object.NewReplica(object.ReplicaConfig{})
	watcher.Reset(kind, nil, at(90))
	peer.Reset(kind, []object.Object{{Name: "a", Version: at(99)}}, at(100))
	watcher.Reset(kind, nil, at(105))
	held, known := peer.CompleteUpTo(kind)
	if d, ok := watcher.Since(kind, held, known); ok {
		peer.Merge(d)
	}
	if held := peer.Objects(kind); len(held) != 0 {
		t.Errorf("the peer still holds %+v", held)
	}
}

// A paged list may hold objects newer than its revision, which peers must still
// receive from the watch.
func TestListWithNewerObjects(t *testing.T) {
	old, newer := object.Object{Name: "a", Version: at(8)}, object.Object{Name: "a", Version: at(12)}
	watcher, peer := object.NewReplica(object.ReplicaConfig{}), object.NewReplica(object.ReplicaConfig{})
	peer.Reset(kind, []object.Object{old}, at(10))
	watcher.Reset(kind, []object.Object{newer}, at(10))
	watcher.Apply(kind, at(10), []object.Event{{Object: newer}}, at(12))
	d, ok := watcher.Since(kind, at(10), true)
	if !ok || !peer.Merge(d) {
		t.Fatalf("the delta changed nothing at the peer: %+v", d)
	}
	if held := peer.Objects(kind); held[0].Version != newer.Version {
		t.Errorf("the peer is at revision 12 and holds %+v", held)
	}
}

func TestDeltas(t *testing.T) {
	Convey("An empty replica", t, func() {
		r := object.NewReplica(object.ReplicaConfig{})
		Convey("has no delta", func() {
			_, ok := r.Since(kind, at(0), false)
			So(ok, ShouldBeFalse)
		})
		Convey("ignores changes without the preceding state", func() {
			r.Apply(kind, at(3), []object.Event{{Object: object.Object{Name: "a", Version: at(4)}}}, at(4))
			So(r.Objects(kind), ShouldBeEmpty)
		})
	})
	Convey("A replica at revision 5", t, func() {
		r := object.NewReplica(object.ReplicaConfig{})
		r.Reset(kind, []object.Object{{Name: "a", Version: at(2)}, {Name: "b", Version: at(5)}}, at(5))
		Convey("sends a deletion to a peer that is behind", func() {
			r.Apply(kind, at(5), []object.Event{{Object: object.Object{Name: "a", Version: at(2)}, Deleted: true}}, at(6))
			d, ok := r.Since(kind, at(5), true)
			So(ok, ShouldBeTrue)
			So(d.Full, ShouldBeFalse)
			So(d.Events, ShouldHaveLength, 1)
			So(d.Events[0].Deleted, ShouldBeTrue)
		})
		Convey("sends a full delta to an empty peer", func() {
			d, _ := r.Since(kind, at(0), false)
			So(d.Full, ShouldBeTrue)
			So(d.Events, ShouldHaveLength, 2)
		})
		Convey("sends a listing and the changed objects to a peer before its history", func() {
			d, _ := r.Since(kind, at(3), true)
			So(d.Full, ShouldBeFalse)
			So(d.Listed, ShouldBeTrue)
			So(d.Listing, ShouldHaveLength, 2)
			So(d.Events, ShouldHaveLength, 1)
			So(d.Events[0].Name, ShouldEqual, "b")
			Convey("which brings it up to date", func() {
				peer := object.NewReplica(object.ReplicaConfig{})
				peer.Reset(kind, []object.Object{{Name: "a", Version: at(2)}, {Name: "c", Version: at(3)}}, at(3))
				So(peer.Merge(d), ShouldBeTrue)
				So(peer.Objects(kind), ShouldResemble, r.Objects(kind))
				held, _ := peer.CompleteUpTo(kind)
				So(held, ShouldEqual, at(5))
			})
			Convey("which marks a peer that lacks an object as inconsistent", func() {
				peer := object.NewReplica(object.ReplicaConfig{})
				peer.Reset(kind, []object.Object{{Name: "c", Version: at(3)}}, at(3))
				So(peer.Merge(d), ShouldBeFalse)
				So(peer.Inconsistent(kind), ShouldBeTrue)
				Convey("until it gets a full delta", func() {
					all, _ := r.Since(kind, at(0), false)
					So(peer.Merge(all), ShouldBeTrue)
					So(peer.Inconsistent(kind), ShouldBeFalse)
				})
			})
		})
		Convey("sends the changes of a list to a peer at its previous revision", func() {
			r.Reset(kind, []object.Object{{Name: "b", Version: at(5)}, {Name: "c", Version: at(8)}}, at(9))
			d, _ := r.Since(kind, at(5), true)
			So(d.Full || d.Listed, ShouldBeFalse)
			So(d.Events, ShouldHaveLength, 2) // The deletion of a, and c.
		})
		Convey("ignores an older list", func() {
			r.Reset(kind, nil, at(4))
			So(r.Objects(kind), ShouldHaveLength, 2)
		})
		Convey("deletes objects that a newer list lacks", func() {
			r.Reset(kind, []object.Object{{Name: "b", Version: at(5)}}, at(7))
			So(r.Objects(kind), ShouldHaveLength, 1)
		})
	})
}

// Guards against applying a confirmation to a state that it does not cover.
func TestConfirmationOfMarkedState(t *testing.T) {
	const kind = "workers"
	r, start := object.NewReplica(object.ReplicaConfig{}), time.Now()
	entry := object.Object{Name: "w", Version: at(1)}
	r.Reset(kind, []object.Object{entry}, at(1))
	r.MarkConfirmed(kind, at(1), start)
	m := r.Mark(kind)
	r.Apply(kind, at(1), nil, at(2))
	r.MarkConfirmed(kind, at(1), start.Add(time.Second))
	if got := r.ConfirmedAtMark(kind, m); !got.Equal(start.Add(time.Second)) {
		t.Errorf("unchanged state confirmed at %s, want the last confirmation", got.Sub(start))
	}
	r.Apply(kind, at(2), []object.Event{{Object: entry, Deleted: true}}, at(3))
	r.MarkConfirmed(kind, at(1), start.Add(2*time.Second))
	if got := r.ConfirmedAtMark(kind, m); !got.Equal(start) {
		t.Errorf("changed state confirmed at %s, want the time of the mark", got.Sub(start))
	}
	if got := r.ConfirmedAtMark(kind, r.Mark(kind)); !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("new state confirmed at %s, want the last confirmation", got.Sub(start))
	}
}

// Guards against an object that was created and deleted between two lists and stays at a
// peer, since a replica in between passed the list's changes on as complete.
func TestGapIsPassedOn(t *testing.T) {
	a, b := object.Object{Name: "a", Version: at(5)}, object.Object{Name: "b", Version: at(11)}
	newReplica := func(revision uint64, objects ...object.Object) *object.Replica {
		r := object.NewReplica(object.ReplicaConfig{})
		r.Reset(kind, objects, at(revision))
		return r
	}
	pull := func(to, from *object.Replica) {
		held, known := to.CompleteUpTo(kind)
		if d, ok := from.Since(kind, held, known); ok {
			to.Merge(d)
		}
	}
	behind, lister, between := newReplica(12, a, b), newReplica(10, a), newReplica(10, a)
	lister.Reset(kind, []object.Object{a}, at(20)) // b was created at 11 and deleted since.
	pull(between, lister)
	pull(behind, between)
	for name, r := range map[string]*object.Replica{"between": between, "behind": behind} {
		if held, _ := r.CompleteUpTo(kind); held == at(20) && len(r.Objects(kind)) != 1 {
			t.Errorf("%s is at %v and holds %v", name, held, r.Objects(kind))
		}
	}
	if held, _ := behind.CompleteUpTo(kind); held != at(20) {
		t.Errorf("behind is at %v", held)
	}
}
