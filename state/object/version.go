// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import "cmp"

// Version names a state of the store. Revisions count the changes within an era. A
// store that returns from an older copy of its state begins a new era: its revisions
// go back and are assigned again, so a revision alone names no state. Era is 0 for a
// store that reports none. The zero value precedes every state.
type Version struct {
	Era, Revision uint64
}

// Compare returns -1, 0 or +1 if v is older than, equal to or newer than w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision))
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool { return v.Compare(w) < 0 }
