// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"testing"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
)

// BenchmarkCompile measures recompiling the worker set after a change to one worker.
func BenchmarkCompile(b *testing.B) {
	d := workersDelta(1617)
	compile := gateway.NewWorkerCompiler(codec{}, d)
	at := d.UpTo
	for b.Loop() {
		o := d.Events[int(at.Revision)%len(d.Events)].Object
		previous := at
		at.Revision++
		o.Version = at
		compile(object.Delta{Kind: d.Kind, Since: previous, UpTo: at, Events: []object.Event{{Object: o}}})
	}
}
