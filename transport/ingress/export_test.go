// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

// CollectLosses returns what was lost since the last call, by service and cause.
func (h *Handler) CollectLosses() map[string]int {
	_, lost := h.losses.collect()
	sums := make(map[string]int, len(lost))
	for _, l := range lost {
		sums[l.Service+": "+l.Cause] = l.Count
	}
	return sums
}
