// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/rollout"
)

// RolloutsConfig sets up what operators see and do of new versions that are brought in. All
// fields are required.
type RolloutsConfig struct {
	// All returns the orders that are known.
	All func() []RolloutStatus
	// Stop rolls an order back, and reports whether there is one under way.
	Stop func(service string) bool
}

// RolloutStatus is one order as a VM knows it.
type RolloutStatus struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
	// Reason says why it is there, and what it waits for, as the VM that decides has told.
	Reason string `json:"reason"`
	// LeftMillis is the time until it is to be done.
	LeftMillis int64 `json:"left_ms"`
	// Decides is set at the VM that decides.
	Decides bool `json:"decides"`
	// Requests are those of this VM since the order, Sent those it sent to the version.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
	// Routes compare the versions, as this VM's own requests ended.
	Routes []RolloutRoute `json:"routes"`
}

// RolloutRoute compares the answers of two versions on one route.
type RolloutRoute struct {
	Route string        `json:"route"`
	Old   rollout.Tally `json:"old"`
	New   rollout.Tally `json:"new"`
}

// RolloutStopped is the answer to a stop.
type RolloutStopped struct {
	Service string `json:"service"`
}

func (c RolloutsConfig) register(v1 *http.ServeMux) {
	v1.HandleFunc("GET /v1/rollouts", func(w http.ResponseWriter, _ *http.Request) {
		outcome.WriteJSON(w, http.StatusOK, c.All())
	})
	v1.HandleFunc("POST /v1/rollouts/{service}/stop", func(w http.ResponseWriter, r *http.Request) {
		service := r.PathValue("service")
		if !c.Stop(service) {
			fail(w, outcome.CodeNotFound, "stop roll-out", errors.Newf("no new version of service %q is being brought in", service))
			return
		}
		outcome.WriteJSON(w, http.StatusOK, RolloutStopped{Service: service})
	})
}
