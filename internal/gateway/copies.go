// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"

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
	slots chan struct{}
}

func newCopies() *copies { return &copies{slots: make(chan struct{}, largeAtOnce)} }

// bound takes out of an answer what is too large to be sent now. The returned
// function is to be called once the answer has been sent.
func (c *copies) bound(answer *peerpb.Synced) (sent func()) {
	held := false
	mayGo := func(part proto.Message) bool {
		size := proto.Size(part)
		if size <= smallPart || size <= largestPart && held {
			return true
		}
		if size > largestPart {
			return false
		}
		select {
		case c.slots <- struct{}{}:
			held = true
		default:
		}
		return held
	}
	answer.Deltas = slices.DeleteFunc(answer.Deltas, func(d *peerpb.Delta) bool {
		if mayGo(d) {
			return false
		}
		// Without the changes the age would be that of something else.
		delete(answer.GetAgeMillis(), d.GetKind())
		return true
	})
	if answer.GetBalanced() != nil && !mayGo(answer.GetBalanced()) {
		answer.Balanced = nil
	}
	return func() {
		if held {
			<-c.slots
		}
	}
}
