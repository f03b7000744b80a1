// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

const (
	// reservedDescriptors are for files, listeners and the calls to the store.
	reservedDescriptors = 256
	// descriptorParts is the number of equal parts that the other descriptors are divided
	// into: two for the connections of clients, two for those to workers, and one for
	// peers, the directory, health checks and operators.
	descriptorParts = 5
	// minConnections is the least limit, for a setting that leaves no room.
	minConnections = 64
)

// connectionLimit returns how many connections clients may have open, and how many may be
// open to workers, if a VM may have a number of descriptors open. It returns 0, which means
// no limit, if that number is unknown.
func connectionLimit(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max((descriptors-reservedDescriptors)*2/descriptorParts, minConnections)
}
