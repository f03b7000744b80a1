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

// GatewayConfig configures the API of a gateway, which has no endpoints for
// configuration, because operators do not write its routes and workers. All
// fields but Token are required.
type GatewayConfig struct {
	// Token is the bearer token of operators. If it is empty, only metrics and
	// health are served.
	Token   string
	Metrics *metrics.Set
	Ready   func() bool
	Intents IntentsConfig
	// Status returns the state of the fleet as this VM knows it.
	Status func(ctx context.Context) Status
	// Traffic returns the moves and caps in force.
	Traffic    func() *spec.Traffic
	Quarantine QuarantineConfig
	Rollouts   RolloutsConfig
	// FindDecision returns the decision for a request, by the request's id.
	FindDecision func(id string) (decision.Record, bool)
}

// NewGateway returns the handler for operators of a gateway: metrics, health,
// intents, status, decisions by the id of a request or move, quarantine and
// rollouts.
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
	v1.HandleFunc("GET /v1/decisions/{id}", cfg.serveExplanation)
	root.Handle("/v1/", alice.New(a.authorize, a.limitBody).Then(v1))
	return root
}

// serveExplanation returns a move in force or the decision for a request.
func (cfg GatewayConfig) serveExplanation(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if m := intent.FindMove(cfg.Traffic(), id); m != nil {
		outcome.WriteJSON(w, http.StatusOK, Explanation{Move: m})
		return
	}
	record, ok := cfg.FindDecision(id)
	if !ok {
		writeFailure(w, outcome.CodeNotFound, "find decision", errors.Newf("VM %s holds no decision on request %q", cfg.Intents.VM, id))
		return
	}
	outcome.WriteJSON(w, http.StatusOK, Explanation{Decision: &record})
}
