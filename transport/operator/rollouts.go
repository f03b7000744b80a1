// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/rollout"
)

// RolloutsConfig configures the endpoints for rollouts of new versions. All fields
// are required.
type RolloutsConfig struct {
	// All returns the known rollouts.
	All func() []RolloutStatus
	// Stop rolls back the rollout of a service. It reports whether there was one.
	Stop func(service string) bool
}

// RolloutStatus is the state of one rollout as this VM knows it.
type RolloutStatus struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
	// Reason explains the phase and what the rollout waits for, as the deciding
	// VM reported it.
	Reason string `json:"reason"`
	// LeftMillis is the time left until the rollout is due to be done.
	LeftMillis int64 `json:"left_ms"`
	// Decides is set at the VM that decides the rollout's phases.
	Decides bool `json:"decides"`
	// Requests counts this VM's requests since the start of the rollout, and
	// Sent those sent to the new version.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
	// Routes compares the versions by the outcomes of this VM's requests.
	Routes []RolloutRoute `json:"routes"`
}

// RolloutRoute compares the outcomes of two versions on one route.
type RolloutRoute struct {
	Route string        `json:"route"`
	Old   rollout.Tally `json:"old"`
	New   rollout.Tally `json:"new"`
}

// RolloutStopped is the response to a stop.
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
			writeFailure(w, outcome.CodeNotFound, "stop roll-out", errors.Newf("service %q has no rollout in progress", service))
			return
		}
		outcome.WriteJSON(w, http.StatusOK, RolloutStopped{Service: service})
	})
}
