// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"math"
	"time"
)

// decayFactor is what is left of a sum after some time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}
