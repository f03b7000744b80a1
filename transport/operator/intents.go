// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

// IntentsConfig sets up the part of the API that takes intents. All fields but
// Log are required.
type IntentsConfig struct {
	VM    string
	Log   logr.Logger
	Store traffic.Store
	// View returns the fleet and its services with a traffic object.
	View func(t *spec.Traffic) *view.View
	// Changed is told of a traffic object that is known to be in force, so
	// that this VM need not wait to hear of it.
	Changed func(w traffic.Result)
}

// intents answers intents with plans, and carries confirmed ones out.
type intents struct{ cfg IntentsConfig }

func registerIntents(mux *http.ServeMux, cfg IntentsConfig) {
	i := &intents{cfg: cfg}
	mux.HandleFunc("POST /v1/plans", i.plan)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", i.confirm)
	mux.HandleFunc("POST /v1/intents/{id}/stop", i.stop)
}

func (i *intents) plan(w http.ResponseWriter, r *http.Request) {
	var e intent.Envelope
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &e)
	}
	if err != nil {
		fail(w, outcome.CodeBadRequest, "read intent", err)
		return
	}
	t, _, err := i.cfg.Store.Read(r.Context())
	if err != nil {
		failPlatform(w, "read traffic", err)
		return
	}
	halls, err := i.cfg.Store.Halls(r.Context())
	if err != nil {
		failPlatform(w, "read statuses", err)
		return
	}
	plan, err := intent.Make(e.Intent, intent.Facts{ID: newID(), View: i.cfg.View(&t), Halls: halls, Now: time.Now()})
	var refusal *intent.Refusal
	switch {
	case errors.As(err, &refusal):
		fail(w, outcome.CodePlanRefused, "make plan", refusal)
		return
	case err != nil:
		fail(w, outcome.CodeBadRequest, "make plan", err)
		return
	}
	// It is kept in the store, so that it can be confirmed at any VM, also
	// after this one has been replaced.
	if err := i.cfg.Store.SavePlan(r.Context(), plan, i.operation()); err != nil {
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

func (i *intents) confirm(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !spec.ValidName(id) {
		fail(w, outcome.CodeBadRequest, "read plan", errors.Newf("%q is no plan's id", id))
		return
	}
	plan, err := i.cfg.Store.Plan(r.Context(), id)
	switch {
	case errors.Is(err, traffic.ErrNoPlan):
		fail(w, outcome.CodeNotFound, "read plan", errors.Newf("no plan has the id %q", id))
		return
	case err != nil:
		failPlatform(w, "read plan", err)
		return
	}
	i.change(w, r, plan.ID, func(t spec.Traffic) (spec.Traffic, error) {
		if traffic.HasIntent(t, plan.ID) {
			return t, traffic.ErrAlreadyInForce
		}
		return intent.Apply(plan, t, time.Now())
	})
}

func (i *intents) stop(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	i.change(w, r, id, func(t spec.Traffic) (spec.Traffic, error) {
		return intent.Stop(t, id, time.Now())
	})
}

func (i *intents) operation() string { return newOperation(i.cfg.VM) }

func (i *intents) change(w http.ResponseWriter, r *http.Request, id string, apply func(spec.Traffic) (spec.Traffic, error)) {
	written, err := traffic.Update(r.Context(), i.cfg.Store, i.operation, apply)
	if err != nil && !errors.Is(err, traffic.ErrAlreadyInForce) {
		failChange(w, err)
		return
	}
	if err == nil {
		i.cfg.Log.Info("operator: traffic changed", "id", id, "version", written.Version)
		i.cfg.Changed(written)
	}
	outcome.WriteJSON(w, http.StatusOK, Accepted{ID: id, Version: written.Version})
}

func failChange(w http.ResponseWriter, err error) {
	var refusal *intent.Refusal
	switch {
	case errors.Is(err, intent.ErrPlanAgain):
		fail(w, outcome.CodePlanAgain, "apply", err)
	case errors.As(err, &refusal):
		fail(w, outcome.CodePlanRefused, "apply", refusal)
	case errors.Is(err, intent.ErrIntent), errors.Is(err, intent.ErrTransition):
		fail(w, outcome.CodeBadRequest, "apply", err)
	default:
		failPlatform(w, "change traffic", err)
	}
}
