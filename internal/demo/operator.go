// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/operator"
)

// operatorClient is an operator at one VM.
type operatorClient struct {
	address string
}

var operatorHTTP = &http.Client{Timeout: 10 * time.Second}

func (o *operatorClient) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Token)
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
		return errors.Newf("demo: %s %s: %s", method, path, bytes.TrimSpace(answer))
	}
	return json.Unmarshal(answer, out)
}

// carryOut plans and confirms an intent, as soon as the halls have reported.
func (o *operatorClient) carryOut(ctx context.Context, in intent.Intent) (string, error) {
	var plan intent.Plan
	var err error
	if !until(ctx, func() bool {
		plan = intent.Plan{}
		err = o.call(ctx, http.MethodPost, "/v1/plans", intent.Envelope{Intent: in}, &plan)
		return err == nil
	}) {
		return "", err
	}
	var accepted operator.Accepted
	return plan.ID, o.call(ctx, http.MethodPost, "/v1/plans/"+plan.ID+"/confirm", nil, &accepted)
}

func (o *operatorClient) apply(ctx context.Context, objects ...spec.Object) (uint64, error) {
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

func (o *operatorClient) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, o.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// describe tells how the moves of an intent stand.
func (o *operatorClient) describe(ctx context.Context, id string) string {
	s, err := o.status(ctx)
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
