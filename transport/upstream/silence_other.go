// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

//go:build !linux

package upstream

import (
	"net"
	"syscall"
	"time"
)

// userTimeoutControl returns nil: the limit of the system applies.
func userTimeoutControl(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}

// newTransmissionReader returns nil: the system does not tell what was acknowledged.
func newTransmissionReader(net.Conn) func() (transmission, error) { return nil }
