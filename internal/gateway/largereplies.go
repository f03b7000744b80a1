// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/protocol/wire"
)

const (
	// smallPartSize is the size, in bytes, up to which a part of a reply is sent to
	// any number of peers at the same time. It keeps the traffic to all VMs of a
	// region acceptable on a link of 10 Mbit/s, the lowest supported bandwidth: a region
	// of 30 VMs gets half a megabyte, which takes 0.4 s.
	smallPartSize = 16 << 10
	// maxLargeReplies is the number of peers that are sent larger parts at the same
	// time. Other peers receive the rest of the reply and request the missing parts
	// again.
	maxLargeReplies = 2
	// maxPartSize bounds a part of a reply. Peers have to read larger ones from the
	// store.
	maxPartSize = wire.MaxFrame / 2
)

// largeReplies limits the large replies in flight. It is safe for concurrent use.
type largeReplies struct {
	mu       sync.Mutex
	inFlight int
	released chan struct{}
}

func newLargeReplies() *largeReplies { return &largeReplies{released: make(chan struct{})} }

// acquire reserves a slot for a large reply, if one is free.
func (l *largeReplies) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= maxLargeReplies {
		return false
	}
	l.inFlight++
	return true
}

// release returns a slot.
func (l *largeReplies) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	close(l.released)
	l.released = make(chan struct{})
}

// slotFreed returns a channel that is closed when the next slot is returned.
func (l *largeReplies) slotFreed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// dropOversized removes the deltas from a reply that are too large to send now. The caller
// calls onSent once the reply has been sent.
func (l *largeReplies) dropOversized(reply *peerpb.Synced) (onSent func()) {
	acquired := false
	reply.Deltas = slices.DeleteFunc(reply.Deltas, func(d *peerpb.Delta) bool {
		if l.admit(d, &acquired) {
			return false
		}
		// Without the delta the age would refer to a state that the peer does not
		// have.
		delete(reply.GetAgeMillis(), d.GetKind())
		return true
	})
	return l.releaseIf(&acquired)
}

// dropOversizedTable does the same for the table of holders in a reply.
func (l *largeReplies) dropOversizedTable(reply *peerpb.Synced) (onSent func()) {
	acquired := false
	if reply.GetBalanced() != nil && !l.admit(reply.GetBalanced(), &acquired) {
		reply.Balanced = nil
	}
	return l.releaseIf(&acquired)
}

// admit reports whether a part of a reply may be sent now. It acquires a slot for the
// reply if the part needs one, and records that in acquired.
func (l *largeReplies) admit(part proto.Message, acquired *bool) bool {
	switch size := proto.Size(part); {
	case size <= smallPartSize:
		return true
	case size > maxPartSize:
		return false
	}
	*acquired = *acquired || l.acquire()
	return *acquired
}

func (l *largeReplies) releaseIf(acquired *bool) func() {
	return func() {
		if *acquired {
			l.release()
		}
	}
}
