// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
