// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/workspace"
)

// Reasons of requests refused by authentication or quota.
const (
	reasonKeyMissing = "key-missing"
	reasonKeyUnknown = "key-unknown"
	reasonKeysStale  = "keys-not-certain"
	reasonOverQuota  = "workspace-over-quota"
	// reasonQuotaUnknown is used while the VM does not know yet how many VMs share
	// the quotas.
	reasonQuotaUnknown = "quota-unknown"
)

// AdmissionVerdict tells whether a workspace's quota admits a request.
type AdmissionVerdict int

// Values of AdmissionVerdict.
const (
	AdmissionAllowed AdmissionVerdict = iota
	// AdmissionOverQuota means that the quota of the workspace is exhausted.
	AdmissionOverQuota
	// AdmissionQuotaUnknown means that the VM does not know its part of the quota yet.
	AdmissionQuotaUnknown
)

// Admission is the result of a quota check.
type Admission struct {
	Verdict AdmissionVerdict
	// RetryAfter is the time until the quota may admit a request again. Reason explains the verdict.
	RetryAfter time.Duration
	Reason     string
	// Refund returns the request to the quota if no worker has run it. It is nil
	// if there is nothing to return, as for quota granted by other VMs.
	Refund func()
}

// Limiter enforces the request quota of each workspace across all VMs. It must be
// safe for concurrent use.
type Limiter interface {
	// Admit counts a request against the quota of a workspace, or returns why it is
	// not admitted. It may call another VM, but returns soon.
	Admit(ctx context.Context, w *workspace.Workspace) Admission
}

// Keys reports how current this VM's knowledge of API keys is.
type Keys interface {
	// RefreshKeys returns once the known keys are newer than the call, or after a short
	// timeout. The calls it makes to others are bounded, however many requests
	// have unknown keys.
	RefreshKeys(ctx context.Context, key workspace.Digest)
	// RevocationsCurrent reports whether revoked keys are known as revoked in time. While
	// it returns false, requests that need a key are refused.
	RevocationsCurrent() bool
	// AdditionsCurrent reports whether newly issued keys are known in time.
	AdditionsCurrent() bool
}

// unrestricted is the default Limiter and Keys of a Handler.
type unrestricted struct{}

func (unrestricted) Admit(context.Context, *workspace.Workspace) Admission { return Admission{} }
func (unrestricted) RefreshKeys(context.Context, workspace.Digest)         {}
func (unrestricted) RevocationsCurrent() bool                              { return true }
func (unrestricted) AdditionsCurrent() bool                                { return true }

// authenticate finds the workspace of a request by its API key, and responds to the
// request if it may not be served. Only a short digest of the key is recorded.
func (q *request) authenticate(s *placement.Snapshot) (served bool) {
	directory := s.Routes.Workspaces()
	if directory == nil {
		return true
	}
	q.stripAPIKey = true
	key, given := q.handler.cfg.Dialect.APIKey(q.req)
	switch {
	case !given && q.route.Public:
		return true
	case !given:
		q.reject(http.StatusUnauthorized, reasonKeyMissing)
		return false
	}
	digest := workspace.DigestOf(key)
	found, ok := directory.FindByKey(digest)
	if !ok && !q.route.Public {
		q.handler.cfg.Keys.RefreshKeys(q.req.Context(), digest)
		found, ok = q.handler.cfg.Snapshot().Routes.Workspaces().FindByKey(digest)
	}
	q.addInput("key", digest.String())
	if ok {
		q.workspace = found
		q.addInput("workspace", found.Name())
	}
	return q.checkKey(ok)
}

// checkKey reports whether a request with an API key may be served, and responds to it
// if not. It responds with 401 only if the VM would know a newly issued key by now.
func (q *request) checkKey(known bool) bool {
	switch {
	case q.route.Public:
		return true
	case !q.handler.cfg.Keys.RevocationsCurrent(), !known && !q.handler.cfg.Keys.AdditionsCurrent():
		q.refuse(reasonKeysStale)
		return false
	case !known:
		q.reject(http.StatusUnauthorized, reasonKeyUnknown)
		return false
	}
	return true
}

// admit counts the request against its workspace's quota, or responds to it.
func (q *request) admit() (served bool) {
	if q.workspace == nil {
		return true
	}
	q.admission = q.handler.cfg.Limiter.Admit(q.req.Context(), q.workspace)
	switch q.admission.Verdict {
	case AdmissionOverQuota:
		q.rejectOverQuota()
		return false
	case AdmissionQuotaUnknown:
		q.refuse(reasonQuotaUnknown)
		return false
	case AdmissionAllowed:
	}
	return true
}

// rejectOverQuota responds with 429 and Retry-After.
func (q *request) rejectOverQuota() {
	q.addInput("quota", q.admission.Reason)
	q.handler.cfg.Metrics.Refused(reasonOverQuota)
	q.recordOutcome(reasonOverQuota, http.StatusTooManyRequests)
	q.writer.Header().Set("Retry-After", strconv.FormatFloat(q.admission.RetryAfter.Seconds(), 'f', 3, 64))
	q.writeStatus(http.StatusTooManyRequests)
}

// refundQuota returns a request that no worker has run to its workspace's quota.
func (q *request) refundQuota() {
	if q.admission.Refund != nil && !q.headSent && !q.mayHaveRun {
		q.admission.Refund()
	}
}

// allowsRegion reports whether both the route and the workspace of the request allow
// it to run in a region.
func (q *request) allowsRegion(region string) bool {
	return q.route.AllowsRegion(region) && (q.workspace == nil || q.workspace.AllowsRegion(region))
}
