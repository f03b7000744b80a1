// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package operator is the operators' API: intents, plans, status, explanations,
// configuration, health and metrics.
//
// It has its own listener, which callers cannot reach. Every path under /v1
// requires a bearer token. The response to an intent is a plan, which changes
// nothing until it is confirmed. A confirmed plan takes effect only if the
// traffic object still has the version that the plan was made from.
//
// # Usage
//
//	handler, err := operator.New(operator.Config{Token: token, ...})
package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/justinas/alice"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/platform"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 8 << 20

// Config configures the API. All fields but Log are required.
type Config struct {
	Token     string
	VM        string
	Log       logr.Logger
	Platform  *platform.Client
	Store     *spread.Store
	View      func() *view.View
	Members   *membership.Table
	Decisions *decision.Log
	Metrics   *metrics.Set
	Intents   IntentsConfig
	// Ready returns nil if the daemon can serve callers.
	Ready func() error
	// FindDecision fetches a decision from another VM.
	FindDecision func(ctx context.Context, vm, id string) (decision.Record, error)
	// OwnStatus returns the load summary of this VM.
	OwnStatus func() load.VMStatus
}

type api struct {
	cfg   Config
	token [sha256.Size]byte
}

// ErrNoToken reports a configuration without a token.
var ErrNoToken = errors.New("operator: a token is required")

// New returns the handler for operators. It returns ErrNoToken without a token.
func New(cfg Config) (http.Handler, error) {
	if cfg.Token == "" {
		return nil, ErrNoToken
	}
	a := &api{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token))}
	v1 := http.NewServeMux()
	registerIntents(v1, cfg.Intents)
	v1.HandleFunc("GET /v1/status", a.serveStatus)
	v1.HandleFunc("GET /v1/decisions/{id}", a.serveExplanation)
	v1.HandleFunc("PUT /v1/config", a.applyConfig)
	v1.HandleFunc("GET /v1/config", a.writeConfig)
	root := http.NewServeMux()
	root.Handle("/v1/", alice.New(a.authorize, a.limitBody).Then(v1))
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	root.HandleFunc("GET /readyz", a.serveReady)
	root.Handle("GET /metrics", cfg.Metrics.Handler())
	return root, nil
}

// authorize requires the bearer token. It compares digests in constant time.
func (a *api) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(sent))
		if subtle.ConstantTimeCompare(digest[:], a.token[:]) != 1 {
			writeFailure(w, outcome.CodeUnauthorized, "authorize", errors.New("the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

func writeFailure(w http.ResponseWriter, code outcome.Code, step string, err error) {
	outcome.Write(w, outcome.New(code, outcome.NotRun, step, "", err))
}

// writePlatformFailure responds with the failure for an error of the platform.
func writePlatformFailure(w http.ResponseWriter, step string, err error) {
	switch {
	case errors.Is(err, platform.ErrUnresolved), errors.Is(err, traffic.ErrUnresolved):
		outcome.Write(w, outcome.New(outcome.CodeWriteUnresolved, outcome.Unknown, step, "platform", err))
	case errors.Is(err, platform.ErrConflict), errors.Is(err, traffic.ErrConflict):
		outcome.Write(w, outcome.New(outcome.CodePlanAgain, outcome.NotRun, step, "platform", err))
	default:
		outcome.Write(w, outcome.New(outcome.CodePlatform, outcome.NotRun, step, "platform", err).WithRetryAfter(time.Second))
	}
}

func (a *api) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.cfg.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func newPlanID() string {
	var raw [5]byte
	_, _ = rand.Read(raw[:])
	return "p" + hex.EncodeToString(raw[:])
}

func newOperationID(vm string) string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return vm + "-" + hex.EncodeToString(raw[:])
}
