// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package object replicates the objects of the platform's store, by kind and name.
//
// The store numbers every change with a single increasing revision. For each kind,
// a Replica holds the latest known state of every object and the revision up to
// which this is complete. Both only increase, so late, duplicate and reordered
// input has no effect.
//
// Since returns the smallest delta that brings a peer up to date. Usually this is a
// part of the recent history. A list shows the current objects but not those
// created and deleted since the previous list, which leaves a gap in the history. A
// peer within a gap gets the names of all objects and the objects that changed.
// Only a peer without any state gets a full copy: in a large fleet many peers are
// behind at once, and full copies for all of them would saturate a VM's link.
//
// # Usage
//
//	replica := object.NewReplica()
//	replica.Reset("routes", items, listed)
//	replica.Apply("routes", listed, events, watched)
//	delta, ok := replica.Since("routes", peerVersion, true)
package object

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// Object is an object of the store.
type Object struct {
	Name string
	// Version is that of the object's last change.
	Version Version
	// Spec is the object's content in the store's encoding. It is never modified in
	// place.
	Spec []byte
}

// Event is a change of one object. Spec is not set for a deletion.
type Event struct {
	Object
	Deleted bool
}

// Ref identifies an object at a revision.
type Ref struct {
	Name     string
	Revision uint64
}

// Delta brings a replica of one kind from one revision to another.
type Delta struct {
	Kind string
	// Full is set if Events holds all objects. Any other object is deleted.
	Full bool
	// Listed is set if Listing names all objects. Any other object is deleted.
	// Events then holds the objects that changed after Since.
	Listed  bool
	Listing []Ref
	// Gapped is set if objects may have been created and deleted after Since that Events
	// does not name. The delta then applies only to a replica that is complete up to
	// Since exactly, whose history has the same gap.
	Gapped bool
	// Events is complete for the versions after Since, up to and including
	// UpTo.
	Since, UpTo Version
	Events      []Event
}

// ApplyEvents returns the objects after the events, ordered by name.
func ApplyEvents(objects []Object, events []Event) []Object {
	byName := make(map[string]Object, len(objects))
	for _, o := range objects {
		byName[o.Name] = o
	}
	for _, e := range events {
		if e.Deleted {
			delete(byName, e.Name)
			continue
		}
		byName[e.Name] = e.Object
	}
	return sortedByName(byName)
}

// sortedByName returns the objects ordered by name.
func sortedByName(byName map[string]Object) []Object {
	objects := slices.Collect(maps.Values(byName))
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// sameState reports whether two objects of one era are the same state. The era of their
// versions may differ: an object that is unchanged since an earlier era keeps its version.
func sameState(a, b Object) bool {
	return a.Version.Revision == b.Version.Revision && bytes.Equal(a.Spec, b.Spec)
}
