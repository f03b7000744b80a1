// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"math"
	"time"
)

// decayFactor returns the fraction of a sum that remains after the elapsed time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / averagingWindow.Seconds())
}
