// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package admission

import "time"

// Reservation is the part of the queue room of each worker that one request may not use.
// The zero value reserves nothing.
type Reservation struct {
	ranked   bool
	rank     int
	fraction float64
	// runTime is the usual time of a request at a worker with a free slot, 0 if unknown.
	runTime, timeLeft time.Duration
}

// Ranked reports whether requests of the service have different ranks.
func (r Reservation) Ranked() bool { return r.ranked }

// Fraction returns the reserved fraction of the queue room, from 0 to 1.
func (r Reservation) Fraction() float64 { return r.fraction }

// ReservedFor returns the lowest rank that room is reserved for, or -1 if none is reserved.
func (r Reservation) ReservedFor() int {
	if r.fraction <= 0 {
		return -1
	}
	return r.rank - 1
}

// Limit reduces the limit below which a worker's load must be for the request. It does not
// reduce it below the slots.
func (r Reservation) Limit(slots, limit float64) float64 {
	if !r.ranked || limit <= slots {
		return limit
	}
	if r.runTime > 0 && r.timeLeft > 0 {
		limit = max(slots, min(limit, slots*r.timeLeft.Seconds()/r.runTime.Seconds()))
	}
	return limit - r.fraction*(limit-slots)
}

// RoomAfter returns the time in which a worker is expected to have room below a limit, 0 if
// that is unknown.
func (r Reservation) RoomAfter(slots, busy, limit float64) time.Duration {
	if !r.ranked || slots <= 0 {
		return 0
	}
	wait := max(busy-limit+1, 1) * r.runTime.Seconds() / slots
	return min(time.Duration(wait*float64(time.Second)), maxRoomWait)
}
