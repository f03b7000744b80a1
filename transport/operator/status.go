// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/platform"
)

// Status is the response to GET /v1/status.
type Status struct {
	VM         string            `json:"vm"`
	Hall       string            `json:"hall"`
	Generation uint64            `json:"generation"`
	Platform   string            `json:"platform"`
	Members    []MemberStatus    `json:"members"`
	Halls      []load.HallStatus `json:"halls"`
	Own        load.VMStatus     `json:"own"`
	Moves      []spec.Move       `json:"moves"`
	Caps       []spec.Cap        `json:"caps"`
	Leaving    []string          `json:"leaving"`
	// Unused lists some of the store's entries that the VM cannot use.
	Unused []UnusedEntry `json:"unused,omitempty"`
	// HeldBack lists some of the workers that receive no or fewer requests, now
	// or soon, because of a signal they sent.
	HeldBack []HeldBackWorker `json:"held_back,omitempty"`
}

// HeldBackWorker is a worker that is leaving, resting or rate-limited.
type HeldBackWorker struct {
	Worker  string `json:"worker"`
	Service string `json:"service"`
	Hall    string `json:"hall"`
	// State is leaving, resting or limited. From is the source of the signal: a
	// response of the worker, the store or another VM.
	State string `json:"state"`
	From  string `json:"from"`
	// LeftMillis is how long a leaving worker may still get requests, or how
	// long a resting one gets none.
	LeftMillis int64 `json:"left_ms"`
	// PerS is the total rate of a limited worker in requests per second, from
	// all VMs, and SinceMillis how long the VM has known of a limit.
	PerS        float64 `json:"per_s,omitempty"`
	SinceMillis int64   `json:"since_ms,omitempty"`
}

// UnusedEntry is an entry of the store that cannot be used, and the reason.
type UnusedEntry struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// platformStatusTimeout limits the wait for the platform, so that a status is
// returned soon while the platform is unavailable.
const platformStatusTimeout = time.Second

// MemberStatus is the state of one known VM.
type MemberStatus struct {
	VM    string `json:"vm"`
	Hall  string `json:"hall"`
	State string `json:"state"`
}

// NewMemberStatus returns the MemberStatus of a member.
func NewMemberStatus(m membership.Member) MemberStatus {
	return MemberStatus{VM: m.ID, Hall: m.Hall, State: m.State.String()}
}

func (a *api) serveStatus(w http.ResponseWriter, r *http.Request) {
	v := a.cfg.View()
	self := a.cfg.Members.Self()
	s := Status{
		VM: a.cfg.VM, Hall: self.Hall, Generation: v.Generation(), Platform: "up", Own: a.cfg.OwnStatus(),
		Members: []MemberStatus{NewMemberStatus(self)},
		Halls:   []load.HallStatus{},
		Moves:   v.Traffic().Moves, Caps: v.Traffic().Caps, Leaving: v.Traffic().Leaving,
	}
	for _, m := range a.cfg.Members.Others() {
		s.Members = append(s.Members, NewMemberStatus(m))
	}
	ctx, cancel := context.WithTimeout(r.Context(), platformStatusTimeout)
	defer cancel()
	halls, err := a.cfg.Intents.Store.Halls(ctx)
	if err != nil {
		s.Platform = "away: " + err.Error()
	}
	for _, h := range halls {
		s.Halls = append(s.Halls, h)
	}
	slices.SortFunc(s.Halls, func(x, y load.HallStatus) int { return strings.Compare(x.Hall, y.Hall) })
	outcome.WriteJSON(w, http.StatusOK, s)
}

// Explanation is the response to GET /v1/decisions/ID: the decision for a request
// or a move with its history.
type Explanation struct {
	Decision *decision.Record `json:"decision,omitempty"`
	Move     *spec.Move       `json:"move,omitempty"`
}

func (a *api) serveExplanation(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if m := intent.FindMove(a.cfg.View().Traffic(), id); m != nil {
		outcome.WriteJSON(w, http.StatusOK, Explanation{Move: m})
		return
	}
	vm, _, ok := strings.Cut(id, ".")
	if !ok {
		writeFailure(w, outcome.CodeNotFound, "find decision", errors.Newf("no move in force and no decision has the id %q", id))
		return
	}
	if vm == a.cfg.VM {
		record, ok := a.cfg.Decisions.Find(id)
		if !ok {
			writeFailure(w, outcome.CodeNotFound, "find decision", errors.Newf("VM %s no longer holds decision %q", vm, id))
			return
		}
		outcome.WriteJSON(w, http.StatusOK, Explanation{Decision: &record})
		return
	}
	record, err := a.cfg.FindDecision(r.Context(), vm, id)
	if err != nil {
		outcome.Write(w, outcome.New(outcome.CodeNotFound, outcome.NotRun, "ask VM", vm, err))
		return
	}
	outcome.WriteJSON(w, http.StatusOK, Explanation{Decision: &record})
}

func (a *api) writeConfig(w http.ResponseWriter, _ *http.Request) {
	_, objects := a.cfg.Store.Snapshot()
	slices.SortFunc(objects, func(x, y spec.Object) int { return strings.Compare(x.String(), y.String()) })
	outcome.WriteJSON(w, http.StatusOK, spec.Set{Objects: objects})
}

// Applied is the response to PUT /v1/config.
type Applied struct {
	Objects []AppliedObject `json:"objects"`
}

// AppliedObject is an object and its version in force.
type AppliedObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
}

// applyConfig validates a set of objects together with those in force, then writes
// the objects that differ, each conditionally. If a write fails, the objects before
// it stay in force, and the error names the object that failed.
func (a *api) applyConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var set spec.Set
	if err == nil {
		set, err = spec.DecodeSet(body)
	}
	if err == nil {
		err = a.checkSet(set)
	}
	if err != nil {
		writeFailure(w, outcome.CodeBadRequest, "check objects", err)
		return
	}
	var applied Applied
	for _, o := range set.Objects {
		written, err := a.applyObject(r, o)
		if err != nil {
			err = errors.Wrapf(err, "%d of %d objects are in force, then %s", len(applied.Objects), len(set.Objects), o.Key)
			writePlatformFailure(w, "write object", err)
			return
		}
		applied.Objects = append(applied.Objects, written)
	}
	outcome.WriteJSON(w, http.StatusOK, applied)
}

func (a *api) checkSet(set spec.Set) error {
	generation, objects := a.cfg.Store.Snapshot()
	replaced := make(map[spec.Key]bool)
	for _, o := range set.Objects {
		if o.Kind == spec.KindTraffic {
			return errors.Newf("%s: traffic is changed by intents only", o.Key)
		}
		replaced[o.Key] = true
	}
	objects = slices.DeleteFunc(objects, func(o spec.Object) bool { return replaced[o.Key] })
	v, err := view.Compile(generation, append(objects, set.Objects...), nil)
	if err != nil {
		return err
	}
	return v.CheckReferences()
}

func (a *api) applyObject(r *http.Request, o spec.Object) (AppliedObject, error) {
	found, err := a.cfg.Platform.Get(r.Context(), o.Key)
	cond := platform.IfVersion(found.Version)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		cond = platform.IfAbsent()
	case err != nil:
		return AppliedObject{}, err
	case sameJSON(found.Spec, o.Spec):
		return AppliedObject{Key: o.String(), Version: found.Version}, nil
	}
	o.Version = 0
	o.Operation = newOperationID(a.cfg.VM)
	version, err := a.cfg.Platform.Put(r.Context(), o, cond, o.Operation)
	if err != nil {
		return AppliedObject{}, err
	}
	o.Version = version
	a.cfg.Store.Apply(spread.Changes{Since: version, Objects: []spec.Object{o}})
	a.cfg.Log.Info("operator: object written", "key", o.String(), "version", version, "at", time.Now().UTC())
	return AppliedObject{Key: o.String(), Version: version, Changed: true}, nil
}

func sameJSON(x, y json.RawMessage) bool {
	var a, b any
	if json.Unmarshal(x, &a) != nil || json.Unmarshal(y, &b) != nil {
		return false
	}
	xJSON, _ := json.Marshal(a)
	yJSON, _ := json.Marshal(b)
	return string(xJSON) == string(yJSON)
}
