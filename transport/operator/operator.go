// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package operator is the operators' API: intents, plans, status, explanations,
// configuration, health and metrics.
//
// It has a listener of its own, which callers do not reach. Every path under
// /v1 takes a bearer token. An intent is answered with a plan and changes
// nothing; confirming names the plan, and takes effect only if the traffic
// object still has the version that the plan was made from.
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
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/justinas/alice"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/platform"
)

// KindPlan and KindStatus are objects that are not part of the configuration.
const (
	KindPlan   spec.Kind = "plan"
	KindStatus spec.Kind = "status"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 8 << 20

// Config sets up the API. All fields but Log are required.
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
	// Ready returns nil if the daemon can serve callers.
	Ready func() error
	// Find asks another VM for a decision.
	Find func(ctx context.Context, vm, id string) (decision.Record, error)
	// Own returns the sums of this VM.
	Own func() load.VMStatus
}

type api struct {
	cfg   Config
	token [sha256.Size]byte
}

// ErrToken reports settings without a token.
var ErrToken = errors.New("operator: a token is required")

// New returns the handler. It returns ErrToken without a token.
func New(cfg Config) (http.Handler, error) {
	if cfg.Token == "" {
		return nil, ErrToken
	}
	a := &api{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token))}
	v1 := http.NewServeMux()
	v1.HandleFunc("POST /v1/plans", a.plan)
	v1.HandleFunc("POST /v1/plans/{id}/confirm", a.confirm)
	v1.HandleFunc("POST /v1/intents/{id}/stop", a.stop)
	v1.HandleFunc("GET /v1/status", a.status)
	v1.HandleFunc("GET /v1/decisions/{id}", a.explain)
	v1.HandleFunc("PUT /v1/config", a.apply)
	v1.HandleFunc("GET /v1/config", a.config)
	root := http.NewServeMux()
	root.Handle("/v1/", alice.New(a.authorize, a.bound).Then(v1))
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	root.HandleFunc("GET /readyz", a.ready)
	root.Handle("GET /metrics", cfg.Metrics.Handler())
	return root, nil
}

// authorize compares digests, which takes the same time whatever was sent.
func (a *api) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(sent))
		if subtle.ConstantTimeCompare(digest[:], a.token[:]) != 1 {
			fail(w, outcome.CodeUnauthorized, "authorize", errors.New("the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

func fail(w http.ResponseWriter, code outcome.Code, step string, err error) {
	outcome.Write(w, outcome.New(code, outcome.NotRun, step, "", err))
}

// failPlatform answers with what a failed call to the platform means.
func failPlatform(w http.ResponseWriter, step string, err error) {
	switch {
	case errors.Is(err, platform.ErrUnresolved):
		outcome.Write(w, outcome.New(outcome.CodeWriteUnresolved, outcome.Unknown, step, "platform", err))
	case errors.Is(err, platform.ErrConflict):
		outcome.Write(w, outcome.New(outcome.CodePlanAgain, outcome.NotRun, step, "platform", err))
	default:
		outcome.Write(w, outcome.New(outcome.CodePlatform, outcome.NotRun, step, "platform", err).WithRetryAfter(time.Second))
	}
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.cfg.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func newID() string {
	var raw [5]byte
	_, _ = rand.Read(raw[:])
	return "p" + hex.EncodeToString(raw[:])
}

func newOperation(vm string) string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return vm + "-" + hex.EncodeToString(raw[:])
}

// ReadTraffic reads the traffic object. Without one, it is empty at version 0.
func ReadTraffic(ctx context.Context, p *platform.Client) (spec.Traffic, uint64, error) {
	o, err := p.Get(ctx, spec.Key{Kind: spec.KindTraffic, Name: spec.MainName})
	if errors.Is(err, platform.ErrNotFound) {
		return spec.Traffic{}, 0, nil
	}
	if err != nil {
		return spec.Traffic{}, 0, err
	}
	value, err := o.Value()
	if err != nil {
		return spec.Traffic{}, 0, err
	}
	t, _ := value.(*spec.Traffic)
	return *t, o.Version, nil
}

// WriteTraffic writes the traffic object if it still has a version, 0 standing
// for none, and returns the object as written. Its errors are those of
// platform.Client.Put.
func WriteTraffic(ctx context.Context, p *platform.Client, t spec.Traffic, version uint64, operation string) (spec.Object, error) {
	cond := platform.IfVersion(version)
	if version == 0 {
		cond = platform.IfAbsent()
	}
	o := spec.Encode(spec.Key{Kind: spec.KindTraffic, Name: spec.MainName}, &t)
	if _, err := o.Value(); err != nil {
		return o, err
	}
	written, err := p.Put(ctx, o, cond, operation)
	o.Version = written
	o.Operation = operation
	return o, err
}

// ReadHalls reads the newest status of every hall.
func ReadHalls(ctx context.Context, p *platform.Client) (map[string]load.HallStatus, error) {
	objects, err := p.List(ctx, KindStatus)
	if err != nil {
		return nil, err
	}
	halls := make(map[string]load.HallStatus, len(objects))
	for _, o := range objects {
		var h load.HallStatus
		if err := json.Unmarshal(o.Spec, &h); err == nil && h.Hall == o.Name {
			halls[h.Hall] = h
		}
	}
	return halls, nil
}

func (a *api) plan(w http.ResponseWriter, r *http.Request) {
	var e intent.Envelope
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &e)
	}
	if err != nil {
		fail(w, outcome.CodeBadRequest, "read intent", err)
		return
	}
	traffic, _, err := ReadTraffic(r.Context(), a.cfg.Platform)
	if err != nil {
		failPlatform(w, "read traffic", err)
		return
	}
	halls, err := ReadHalls(r.Context(), a.cfg.Platform)
	if err != nil {
		failPlatform(w, "read statuses", err)
		return
	}
	plan, err := intent.Make(e.Intent, intent.Facts{
		ID: newID(), View: a.cfg.View().WithTraffic(&traffic), Halls: halls, Now: time.Now(),
	})
	var refusal *intent.Refusal
	switch {
	case errors.As(err, &refusal):
		fail(w, outcome.CodePlanRefused, "make plan", refusal)
		return
	case err != nil:
		fail(w, outcome.CodeBadRequest, "make plan", err)
		return
	}
	a.savePlan(w, r, plan)
}

// savePlan keeps the plan on the platform, so that it can be confirmed at any
// VM, also after this one has been replaced.
func (a *api) savePlan(w http.ResponseWriter, r *http.Request, plan intent.Plan) {
	raw, err := json.Marshal(plan)
	if err != nil {
		fail(w, outcome.CodeBadRequest, "encode plan", err)
		return
	}
	o := spec.Object{Key: spec.Key{Kind: KindPlan, Name: plan.ID}, Spec: raw}
	if _, err := a.cfg.Platform.Put(r.Context(), o, platform.IfAbsent(), newOperation(a.cfg.VM)); err != nil {
		failPlatform(w, "save plan", err)
		return
	}
	outcome.WriteJSON(w, http.StatusCreated, plan)
}

// Accepted is the answer to a change that is known to have taken effect.
type Accepted struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

func (a *api) confirm(w http.ResponseWriter, r *http.Request) {
	key := spec.Key{Kind: KindPlan, Name: r.PathValue("id")}
	if !spec.ValidName(key.Name) {
		fail(w, outcome.CodeBadRequest, "read plan", errors.Newf("%q is no plan's id", key.Name))
		return
	}
	o, err := a.cfg.Platform.Get(r.Context(), key)
	if errors.Is(err, platform.ErrNotFound) {
		fail(w, outcome.CodeNotFound, "read plan", errors.Newf("no plan has the id %q", key.Name))
		return
	}
	var plan intent.Plan
	if err == nil {
		err = json.Unmarshal(o.Spec, &plan)
	}
	if err != nil {
		failPlatform(w, "read plan", err)
		return
	}
	a.change(w, r, plan.ID, func(t spec.Traffic) (spec.Traffic, error) {
		if held(t, plan.ID) {
			return t, errAlready
		}
		return intent.Apply(plan, t, time.Now())
	})
}

func (a *api) stop(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a.change(w, r, id, func(t spec.Traffic) (spec.Traffic, error) {
		return intent.Stop(t, id, time.Now())
	})
}

var errAlready = errors.New("operator: in force already")

// held reports whether the traffic object holds the effects of an intent.
func held(t spec.Traffic, id string) bool {
	for _, m := range t.Moves {
		if m.Intent == id {
			return true
		}
	}
	for _, c := range t.Caps {
		if c.ID == id {
			return true
		}
	}
	return false
}

// maxWrites is how often a change is written again because the controller took
// a step in between.
const maxWrites = 4

// change writes the traffic object on the condition that nobody else has. If it
// was the controller, the change is made again from what it wrote; if it was
// another operator, apply says that the plan is void.
func (a *api) change(w http.ResponseWriter, r *http.Request, id string, apply func(spec.Traffic) (spec.Traffic, error)) {
	var written spec.Object
	for number := 1; ; number++ {
		traffic, version, err := ReadTraffic(r.Context(), a.cfg.Platform)
		if err != nil {
			failPlatform(w, "read traffic", err)
			return
		}
		next, err := apply(traffic)
		if errors.Is(err, errAlready) {
			outcome.WriteJSON(w, http.StatusOK, Accepted{ID: id, Version: version})
			return
		}
		if err != nil {
			failChange(w, err)
			return
		}
		written, err = WriteTraffic(r.Context(), a.cfg.Platform, next, version, newOperation(a.cfg.VM))
		if errors.Is(err, platform.ErrConflict) && number < maxWrites {
			continue
		}
		if err != nil {
			failPlatform(w, "write traffic", err)
			return
		}
		break
	}
	a.cfg.Log.Info("operator: traffic changed", "id", id, "version", written.Version)
	// The version is known to be in effect; this VM need not wait to hear it.
	a.cfg.Store.Apply(spread.Changes{Since: written.Version, Objects: []spec.Object{written}})
	outcome.WriteJSON(w, http.StatusOK, Accepted{ID: id, Version: written.Version})
}

func failChange(w http.ResponseWriter, err error) {
	var refusal *intent.Refusal
	switch {
	case errors.Is(err, intent.ErrPlanAgain):
		fail(w, outcome.CodePlanAgain, "apply", err)
	case errors.As(err, &refusal):
		fail(w, outcome.CodePlanRefused, "apply", refusal)
	default:
		fail(w, outcome.CodeBadRequest, "apply", err)
	}
}
