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
	// smallPart is up to how many bytes a part of an answer goes to any number
	// of peers at once: a region of 30 VMs then takes half a megabyte, 0.4 s of
	// 10 Mbit/s, the smallest link of the users' VMs.
	smallPart = 16 << 10
	// largeAtOnce is to how many peers this VM sends larger parts at a time. The
	// others are told the rest, and ask again for them.
	largeAtOnce = 2
	// largestPart bounds a part of an answer. What is larger a peer has to read
	// from the store.
	largestPart = wire.MaxFrame / 2
)

// copies bounds the large answers that are under way. It is safe for concurrent
// use.
type copies struct {
	mu       sync.Mutex
	underWay int
	released chan struct{}
}

func newCopies() *copies { return &copies{released: make(chan struct{})} }

// acquire takes one of the places for large answers, if one is free.
func (c *copies) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.underWay >= largeAtOnce {
		return false
	}
	c.underWay++
	return true
}

// release gives a place back.
func (c *copies) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underWay--
	close(c.released)
	c.released = make(chan struct{})
}

// freed returns a channel that is closed when the next place is given back.
func (c *copies) freed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// bound takes the deltas out of an answer that are too large to be sent now. The
// returned function is to be called once the answer has been sent.
func (c *copies) bound(answer *peerpb.Synced) (sent func()) {
	held := false
	answer.Deltas = slices.DeleteFunc(answer.Deltas, func(d *peerpb.Delta) bool {
		if c.mayGo(d, &held) {
			return false
		}
		// Without the changes the age would be that of something else.
		delete(answer.GetAgeMillis(), d.GetKind())
		return true
	})
	return c.releaseIf(&held)
}

// boundTable does the same for the table of holders in an answer.
func (c *copies) boundTable(answer *peerpb.Synced) (sent func()) {
	held := false
	if answer.GetBalanced() != nil && !c.mayGo(answer.GetBalanced(), &held) {
		answer.Balanced = nil
	}
	return c.releaseIf(&held)
}

// mayGo reports whether a part of an answer may be sent now, and notes whether
// the answer holds a place for it.
func (c *copies) mayGo(part proto.Message, held *bool) bool {
	switch size := proto.Size(part); {
	case size <= smallPart:
		return true
	case size > largestPart:
		return false
	}
	*held = *held || c.acquire()
	return *held
}

func (c *copies) releaseIf(held *bool) func() {
	return func() {
		if *held {
			c.release()
		}
	}
}
