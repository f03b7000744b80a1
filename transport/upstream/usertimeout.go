// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT (RFC 5482).
const tcpUserTimeout = 0x12

// userTimeoutControl returns a net.Dialer.Control function that limits how long
// sent data may stay unacknowledged, or nil to keep the default of the system.
func userTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	if timeout <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(socket uintptr) {
			optErr = syscall.SetsockoptInt(int(socket), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
