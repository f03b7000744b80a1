// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package membership

// Path says whether a VM reaches workers.
type Path int

// Paths of a VM to workers.
const (
	// PathUnknown is the path of a VM that does not report it. It does not forward requests.
	PathUnknown Path = iota
	// PathOpen is the path of a VM that reaches workers and forwards requests to them.
	PathOpen
	// PathIsolated is the path of a VM that reaches no worker.
	PathIsolated
	// PathStarting is the path of a VM that has started and knows no workers yet.
	PathStarting
)

// SetPath sets the local VM's path to workers.
func (t *Table) SetPath(p Path) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Path == p {
		return
	}
	t.self.Path = p
	t.self.Incarnation++
	t.notifyChanged()
}
