// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"crypto/sha256"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"

	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/decision"
)

// ReaderConfig sets up the handler of a VM that operators only read from. All
// fields but Token are required.
type ReaderConfig struct {
	// Token is what operators must show. Without one nothing but metrics and
	// health is served.
	Token   string
	VM      string
	Metrics *metrics.Set
	Ready   func() bool
	// Find returns the decision on a request, by the request's id.
	Find func(id string) (decision.Record, bool)
}

// NewReader returns the part of the operators' API that explains: metrics,
// health and GET /v1/decisions/ID.
func NewReader(cfg ReaderConfig) http.Handler {
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
	explain := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		record, ok := cfg.Find(r.PathValue("id"))
		if !ok {
			fail(w, outcome.CodeNotFound, "find decision", errors.Newf("VM %s holds no decision on request %q", cfg.VM, r.PathValue("id")))
			return
		}
		outcome.WriteJSON(w, http.StatusOK, Explanation{Decision: &record})
	})
	root.Handle("GET /v1/decisions/{id}", alice.New(a.authorize, a.bound).Then(explain))
	return root
}
