// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package object holds replicas of the objects that the platform's store keeps
// by kind and name.
//
// The store numbers every change with one rising revision. A Replica holds, for
// each kind, the newest state seen of every object and the revision up to which
// this is complete. Both only rise: what comes late, twice or out of order, from
// the store or from a peer, changes nothing. A short history of changes lets a
// peer that is a little behind be told of just these.
//
// # Usage
//
//	replica := object.NewReplica()
//	replica.Reset("routes", items, 12)
//	replica.Apply("routes", 12, events, 15)
//	delta := replica.Since("routes", 14)
package object

import "bytes"

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

// Delta brings a replica of one kind from one revision to another.
type Delta struct {
	Kind string
	// Full is set if Events are all objects, so that any other one is gone.
	Full bool
	// Since and At are the revisions between which Events are complete.
	Since, At uint64
	Events    []Event
}

func same(a, b Object) bool { return a.Revision == b.Revision && bytes.Equal(a.Spec, b.Spec) }
