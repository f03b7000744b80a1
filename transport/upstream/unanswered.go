// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"syscall"
	"time"
)

// optionUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482).
const optionUserTimeout = 0x12

// controlUnanswered returns what sets a socket's time for unconfirmed bytes, or
// nil for the system's own.
func controlUnanswered(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	if after <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(socket uintptr) {
			failed = syscall.SetsockoptInt(int(socket), syscall.IPPROTO_TCP, optionUserTimeout, int(after.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
