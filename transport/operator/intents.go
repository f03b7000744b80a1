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

// IntentsConfig configures the endpoints for intents. All fields but Log are
// required.
type IntentsConfig struct {
	VM    string
	Log   logr.Logger
	Store traffic.Store
	// View returns the view of the fleet and its services with the given
	// traffic object.
	View func(t *spec.Traffic) *view.View
	// OnChange is called with a traffic object that is known to be in force, so
	// that this VM applies it without waiting for a watch.
	OnChange func(w traffic.Result)
}

// intents makes plans for intents and applies confirmed plans.
type intents struct{ cfg IntentsConfig }

func registerIntents(mux *http.ServeMux, cfg IntentsConfig) {
	i := &intents{cfg: cfg}
	mux.HandleFunc("POST /v1/plans", i.plan)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", i.confirm)
	mux.HandleFunc("POST /v1/intents/{id}/stop", i.stop)
}

func (i *intents) plan(w http.ResponseWriter, r *http.Request) {
	var envelope intent.Envelope
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &envelope)
	}
	if err != nil {
		writeFailure(w, outcome.CodeBadRequest, "read intent", err)
		return
	}
	t, _, err := i.cfg.Store.Read(r.Context())
	if err != nil {
		writePlatformFailure(w, "read traffic", err)
		return
	}
	halls, err := i.cfg.Store.Halls(r.Context())
	if err != nil {
		writePlatformFailure(w, "read statuses", err)
		return
	}
	plan, err := intent.MakePlan(envelope.Intent, intent.Facts{ID: newPlanID(), View: i.cfg.View(&t), Halls: halls, Now: time.Now()})
	var refusal *intent.Refusal
	switch {
	case errors.As(err, &refusal):
		writeFailure(w, outcome.CodePlanRefused, "make plan", refusal)
		return
	case err != nil:
		writeFailure(w, outcome.CodeBadRequest, "make plan", err)
		return
	}
	// The plan is stored, so that it can be confirmed at any VM, even after
	// this one has been replaced.
	if err := i.cfg.Store.SavePlan(r.Context(), plan, i.newOperationID()); err != nil {
		writePlatformFailure(w, "save plan", err)
		return
	}
	outcome.WriteJSON(w, http.StatusCreated, plan)
}

// Accepted is the response to a change that has taken effect.
type Accepted struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

func (i *intents) confirm(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !spec.ValidName(id) {
		writeFailure(w, outcome.CodeBadRequest, "read plan", errors.Newf("invalid plan id %q", id))
		return
	}
	plan, err := i.cfg.Store.Plan(r.Context(), id)
	switch {
	case errors.Is(err, traffic.ErrNoPlan):
		writeFailure(w, outcome.CodeNotFound, "read plan", errors.Newf("plan %q does not exist", id))
		return
	case err != nil:
		writePlatformFailure(w, "read plan", err)
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

func (i *intents) newOperationID() string { return newOperationID(i.cfg.VM) }

func (i *intents) change(w http.ResponseWriter, r *http.Request, id string, apply func(spec.Traffic) (spec.Traffic, error)) {
	written, err := traffic.Update(r.Context(), i.cfg.Store, i.newOperationID, apply)
	if err != nil && !errors.Is(err, traffic.ErrAlreadyInForce) {
		writeChangeFailure(w, err)
		return
	}
	if err == nil {
		i.cfg.Log.Info("operator: traffic changed", "id", id, "version", written.Version.Revision)
		i.cfg.OnChange(written)
	}
	outcome.WriteJSON(w, http.StatusOK, Accepted{ID: id, Version: written.Version.Revision})
}

func writeChangeFailure(w http.ResponseWriter, err error) {
	var refusal *intent.Refusal
	switch {
	case errors.Is(err, intent.ErrStalePlan):
		writeFailure(w, outcome.CodePlanAgain, "apply", err)
	case errors.As(err, &refusal):
		writeFailure(w, outcome.CodePlanRefused, "apply", refusal)
	case errors.Is(err, intent.ErrInvalidIntent), errors.Is(err, intent.ErrTransition):
		writeFailure(w, outcome.CodeBadRequest, "apply", err)
	default:
		writePlatformFailure(w, "change traffic", err)
	}
}
