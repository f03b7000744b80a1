// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/quarantine"
)

// QuarantineConfig configures the endpoints for quarantined requests, which are
// requests that crash workers. All fields are required.
type QuarantineConfig struct {
	// All returns the requests that are or were quarantined.
	All func() []quarantine.Entry
	// Release lifts the quarantine of a request at all VMs. It reports whether
	// the request was quarantined.
	Release func(ctx context.Context, f quarantine.Fingerprint) (known bool, err error)
}

// Released is the response to a release.
type Released struct {
	Fingerprint string `json:"fingerprint"`
}

func (c QuarantineConfig) register(v1 *http.ServeMux) {
	v1.HandleFunc("GET /v1/quarantine", func(w http.ResponseWriter, _ *http.Request) {
		outcome.WriteJSON(w, http.StatusOK, c.All())
	})
	v1.HandleFunc("POST /v1/quarantine/{fingerprint}/release", c.release)
}

func (c QuarantineConfig) release(w http.ResponseWriter, r *http.Request) {
	const step = "release"
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		writeFailure(w, outcome.CodeBadRequest, step, err)
		return
	}
	known, err := c.Release(r.Context(), f)
	switch {
	case err != nil:
		writeFailure(w, outcome.CodePlatform, step, err)
	case !known:
		writeFailure(w, outcome.CodeNotFound, step, errors.Newf("no request with fingerprint %s is held", f))
	default:
		outcome.WriteJSON(w, http.StatusOK, Released{Fingerprint: f.String()})
	}
}
