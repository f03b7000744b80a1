// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/operator"
)

// Operator is an operator who talks to one VM. It is safe for concurrent use.
type Operator struct {
	address string
}

var operatorHTTP = &http.Client{Timeout: 10 * time.Second}

// Operator returns an operator at a VM.
func (f *Fleet) Operator(vm string) *Operator { return &Operator{address: f.hosts[vm].Operator} }

func (o *Operator) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	res, err := operatorHTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Newf("fleet: %s %s: %s", method, path, bytes.TrimSpace(answer))
	}
	return json.Unmarshal(answer, out)
}

const (
	// planAgain is how long CarryOut waits after a plan was refused, and
	// planPatience how long it goes on.
	planAgain    = 100 * time.Millisecond
	planPatience = 25 * time.Second
)

// Move returns a move as the VM knows it, or nil.
func (o *Operator) Move(ctx context.Context, id string) *spec.Move {
	s, err := o.Status(ctx)
	if err != nil {
		return nil
	}
	for i := range s.Moves {
		if s.Moves[i].ID == id {
			return &s.Moves[i]
		}
	}
	return nil
}

// CarryOut plans and confirms an intent, as soon as the halls have reported.
func (o *Operator) CarryOut(ctx context.Context, in intent.Intent) (string, error) {
	var plan intent.Plan
	var err error
	ctx, cancel := context.WithTimeout(ctx, planPatience)
	defer cancel()
	for {
		plan = intent.Plan{}
		err = o.call(ctx, http.MethodPost, "/v1/plans", intent.Envelope{Intent: in}, &plan)
		if err == nil {
			break
		}
		if !pause(ctx, planAgain) {
			return "", errors.Wrap(err, "fleet: plan")
		}
	}
	var accepted operator.Accepted
	return plan.ID, o.call(ctx, http.MethodPost, "/v1/plans/"+plan.ID+"/confirm", nil, &accepted)
}

// Apply writes objects and returns the newest version.
func (o *Operator) Apply(ctx context.Context, objects ...spec.Object) (uint64, error) {
	var applied operator.Applied
	if err := o.call(ctx, http.MethodPut, "/v1/config", spec.Set{Objects: objects}, &applied); err != nil {
		return 0, err
	}
	version := uint64(0)
	for _, a := range applied.Objects {
		version = max(version, a.Version)
	}
	return version, nil
}

// Status returns what the VM knows.
func (o *Operator) Status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, o.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Describe tells how the moves of an intent stand.
func (o *Operator) Describe(ctx context.Context, id string) string {
	s, err := o.Status(ctx)
	if err != nil {
		return err.Error()
	}
	text := ""
	for _, m := range s.Moves {
		if m.Intent == id {
			text += m.Service + " " + m.Share.String() + " " + string(m.State) + ": " + m.Reason + "; "
		}
	}
	return text
}
