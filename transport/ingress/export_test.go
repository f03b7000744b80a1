// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

// TakeLosses returns what was lost since the last call, by service and cause.
func (h *Handler) TakeLosses() map[string]int {
	_, lost := h.losses.take()
	sums := make(map[string]int, len(lost))
	for _, l := range lost {
		sums[l.Service+": "+l.Cause] = l.Count
	}
	return sums
}
