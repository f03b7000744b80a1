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

// watchTransmission returns nil: the system does not tell what was acknowledged.
func watchTransmission(net.Conn) func() (transmission, error) { return nil }
