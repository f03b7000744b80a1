// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec_test

import (
	"strings"
	"testing"

	"github.com/ryehill/ryehill/state/spec"
)

func TestAllViolationsAreReported(t *testing.T) {
	o, err := spec.DecodeObject([]byte(`{"kind":"service","name":"pay","version":1,"spec":{"workers":[
		{"id":"W","hall":"a","address":"nowhere","slots":0},{"id":"w2","hall":"a","address":"10.0.0.1:80","slots":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = o.Value()
	for _, want := range []string{"service/pay", "workers[0].id", "want IP:port", "workers[0].slots: 0: allowed are 1 to 10000"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
}

func FuzzDecodeObject(f *testing.F) {
	f.Add([]byte(`{"kind":"fleet","name":"main","version":1,"spec":{"halls":[{"name":"a","region":"r"}]}}`))
	f.Add([]byte(`{"kind":"traffic","name":"main","version":1,"spec":{"edit":1,"moves":[{"id":"m","goal":"20%"}]}}`))
	f.Add([]byte(`{"kind":"blocks","name":"x","version":1,"spec":{"halls":{"a":["10.0.0.0/8"]}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		o, err := spec.DecodeObject(body)
		if err != nil {
			return
		}
		value, err := o.Value()
		if err == nil && value == nil {
			t.Fatal("Value returned neither a value nor an error")
		}
	})
}
