// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/spec"
)

// GatewayConfig sets up the API of a gateway, whose routes and workers are not
// for operators of ryehill to write. All fields but Token are required.
type GatewayConfig struct {
	// Token is what operators must show. Without one nothing but metrics and
	// health is served.
	Token   string
	Metrics *metrics.Set
	Ready   func() bool
	Intents IntentsConfig
	// Status returns what this VM knows of the fleet.
	Status func(ctx context.Context) Status
	// Traffic returns the moves and caps in force.
	Traffic    func() *spec.Traffic
	Quarantine QuarantineConfig
	Rollouts   RolloutsConfig
	// Find returns the decision on a request, by the request's id.
	Find func(id string) (decision.Record, bool)
}

// NewGateway returns the operators' API of a gateway: metrics, health, intents,
// status, GET /v1/decisions/ID for the id of a request or of a move, the quarantine, and
// new versions that are brought in.
func NewGateway(cfg GatewayConfig) http.Handler {
	root := http.NewServeMux()
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	root.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !cfg.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	root.Handle("GET /metrics", cfg.Metrics.Handler())
	if cfg.Token == "" {
		return root
	}
	a := &api{token: sha256.Sum256([]byte(cfg.Token))}
	v1 := http.NewServeMux()
	registerIntents(v1, cfg.Intents)
	cfg.Quarantine.register(v1)
	cfg.Rollouts.register(v1)
	v1.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		outcome.WriteJSON(w, http.StatusOK, cfg.Status(r.Context()))
	})
	v1.HandleFunc("GET /v1/decisions/{id}", cfg.explain)
	root.Handle("/v1/", alice.New(a.authorize, a.bound).Then(v1))
	return root
}

// explain answers with a move in force, or with the decision on a request.
func (cfg GatewayConfig) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if m := intent.Find(cfg.Traffic(), id); m != nil {
		outcome.WriteJSON(w, http.StatusOK, Explanation{Move: m})
		return
	}
	record, ok := cfg.Find(id)
	if !ok {
		fail(w, outcome.CodeNotFound, "find decision", errors.Newf("VM %s holds no decision on request %q", cfg.Intents.VM, id))
		return
	}
	outcome.WriteJSON(w, http.StatusOK, Explanation{Decision: &record})
}
