// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package controller

import "time"

// Lease timing and the number of candidates.
const (
	// LeaseDuration is how long a lease is valid after its last renewal.
	LeaseDuration = 9 * time.Second
	// LeaseRenewInterval is the interval at which the holder renews.
	LeaseRenewInterval = LeaseDuration / 3
	// MaxCandidates is how many VMs of the fleet compete for the lease, so that the
	// number of platform calls does not grow with the fleet.
	MaxCandidates = 3
)

// Lease is the stored object that names the current controller.
type Lease struct {
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	// Renewal counts the renewals, so that observers without a synchronized clock
	// can detect that the holder is alive.
	Renewal uint64 `json:"renewal"`
}

// LeaseObserver detects an expired lease by its local clock alone: the renewal must be
// unchanged for a whole lease duration. It is not safe for concurrent use.
type LeaseObserver struct {
	lastLease Lease
	firstSeen time.Time
}

// Expired records the lease as read at a time and reports whether it has no holder
// or its holder has not renewed for a whole lease duration.
func (o *LeaseObserver) Expired(l Lease, now time.Time) bool {
	if l != o.lastLease || o.firstSeen.IsZero() {
		o.lastLease = l
		o.firstSeen = now
		return l.Holder == ""
	}
	return l.Holder == "" || now.Sub(o.firstSeen) >= LeaseDuration
}
