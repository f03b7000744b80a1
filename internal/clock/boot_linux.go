// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// boot reads the clock that goes on while the machine is suspended.
func boot() (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, false // A kernel without it; the steady clock is all there is.
	}
	return time.Duration(at.Nano()), true
}
