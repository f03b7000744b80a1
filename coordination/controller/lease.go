// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package controller

import "time"

// Times of the lease.
const (
	// LeaseTerm is how long a lease lasts after its last renewal.
	LeaseTerm = 9 * time.Second
	// LeaseRenew is how often the holder renews.
	LeaseRenew = LeaseTerm / 3
	// Candidates is how many VMs of the fleet ask for the lease, so that the
	// calls to the platform do not grow with the fleet.
	Candidates = 3
)

// Lease is the object that names the controller.
type Lease struct {
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	// Renewal numbers the renewals, so that a watcher without a common clock
	// can tell that the holder is alive.
	Renewal uint64 `json:"renewal"`
}

// Observer judges, by its own clock alone, whether a lease has lapsed: it must
// have seen the same renewal for a whole term. It is not safe for concurrent use.
type Observer struct {
	seen  Lease
	since time.Time
}

// Lapsed takes in the lease as read at a time and reports whether its holder
// has not renewed for a whole term.
func (o *Observer) Lapsed(l Lease, now time.Time) bool {
	if l != o.seen || o.since.IsZero() {
		o.seen = l
		o.since = now
		return l.Holder == ""
	}
	return l.Holder == "" || now.Sub(o.since) >= LeaseTerm
}
