// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"testing"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
)

// BenchmarkCompile takes in the change of one of 1,617 workers.
func BenchmarkCompile(b *testing.B) {
	d := workersDelta(1617)
	compile := gateway.Compiler(codec{}, d)
	at := d.UpTo
	for b.Loop() {
		o := d.Events[int(at)%len(d.Events)].Object
		at++
		o.Revision = at
		compile(object.Delta{Kind: d.Kind, Since: at - 1, UpTo: at, Events: []object.Event{{Object: o}}})
	}
}
