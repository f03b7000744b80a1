// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package object holds replicas of the objects that the platform's store keeps
// by kind and name.
//
// The store numbers every change with one rising revision. A Replica holds, for
// each kind, the newest state seen of every object and the revision up to which
// this is complete. Both only rise: what comes late, twice or out of order, from
// the store or from a peer, changes nothing.
//
// A peer that is behind is told as little as brings it up to date. As a rule that
// is a piece of a short history of changes. Where the history has a gap, since a
// list shows what is there and not what came and went before, the peer is told
// the names of all objects and those that have changed. Only one that knows
// nothing is told everything: in a large fleet many are behind at once, and whole
// copies for all of them fill a VM's link for seconds.
//
// # Usage
//
//	replica := object.NewReplica()
//	replica.Reset("routes", items, 12)
//	replica.Apply("routes", 12, events, 15)
//	delta := replica.Since("routes", 14)
package object

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is that of the object's last change.
	Revision uint64
	// Spec is the object's content, in the store's encoding. It is never
	// changed in place.
	Spec []byte
}

// Event is a change of one object. The Spec of one that is gone is not set.
type Event struct {
	Object
	Gone bool
}

// Ref names a state of an object.
type Ref struct {
	Name     string
	Revision uint64
}

// Delta brings a replica of one kind from one revision to another.
type Delta struct {
	Kind string
	// Full is set if Events are all objects, so that any other one is gone.
	Full bool
	// Listed is set if Listing names all objects, so that any other one is gone.
	// Events then hold those that have changed after Since.
	Listed  bool
	Listing []Ref
	// Since and At are the revisions between which Events are complete.
	Since, At uint64
	Events    []Event
}

// Changed returns objects after changes, in the order of their names.
func Changed(objects []Object, events []Event) []Object {
	byName := make(map[string]Object, len(objects))
	for _, o := range objects {
		byName[o.Name] = o
	}
	for _, e := range events {
		if e.Gone {
			delete(byName, e.Name)
			continue
		}
		byName[e.Name] = e.Object
	}
	return sorted(byName)
}

// sorted returns objects in the order of their names.
func sorted(byName map[string]Object) []Object {
	objects := slices.Collect(maps.Values(byName))
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

func same(a, b Object) bool { return a.Revision == b.Revision && bytes.Equal(a.Spec, b.Spec) }
