// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package loopback gives each process of the tests and trials IP numbers of its
// own in 127.0.0.0/8, so that those that run at the same time never share one.
//
// # Usage
//
//	address := loopback.Network() + "1.7:8000"
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// first and count bound the second numbers that are given out: 127.0 is left
	// to everybody else.
	first = 16
	count = 224
	// claim is the address, within a network, that the process which has the
	// network listens on until it ends. No test uses it.
	claim = "255.254:6999"
)

// claimed is a network with the listener that claims it. The listener is held so
// that a garbage collection does not close it.
type claimed struct {
	network  string
	listener net.Listener
}

var own = sync.OnceValue(func() claimed {
	network, listener := claimFrom(os.Getpid())
	return claimed{network: network, listener: listener}
})

// Network returns the first two numbers of the addresses that belong to this
// process, such as "127.100.". It is the same at each call and is kept until the
// process ends. It panics if all networks are taken. It is safe for concurrent use.
func Network() string { return own().network }

// claimFrom claims the first network that is free, beginning with one that a number
// chooses. The network is taken until the listener is closed.
func claimFrom(n int) (string, net.Listener) {
	for i := range count {
		network := fmt.Sprintf("127.%d.", first+(n+i)%count)
		if l, err := net.Listen("tcp", network+claim); err == nil {
			return network, l
		}
	}
	panic("loopback: all networks are taken")
}
