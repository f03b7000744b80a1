// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

//go:build !linux

package clock

import "time"

// boot reports that there is no clock which goes on while the machine is suspended.
func boot() (time.Duration, bool) { return 0, false }
