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

// Reasons of refusals for the sake of workspaces.
const (
	reasonNoKey      = "key-missing"
	reasonUnknownKey = "key-unknown"
	reasonKeysOld    = "keys-not-certain"
	reasonOverQuota  = "workspace-over-quota"
	// reasonQuotaUnknown is for a VM that does not know yet among how many VMs the
	// quotas are divided.
	reasonQuotaUnknown = "quota-unknown"
)

// AdmissionVerdict says whether a workspace's quota has room for a request.
type AdmissionVerdict int

// Verdicts.
const (
	AdmissionPassed AdmissionVerdict = iota
	// AdmissionOver means that the workspace has had what it may.
	AdmissionOver
	// AdmissionUnknown means that the VM does not know yet what it may let pass.
	AdmissionUnknown
)

// Admission is a Limiter's answer.
type Admission struct {
	Verdict AdmissionVerdict
	// After is the time after which there may be room, Why what the answer rests on.
	After time.Duration
	Why   string
	// Refund takes back what was counted, if no worker has run the request. Nil is
	// nothing to take back: what other VMs granted is not given back.
	Refund func()
}

// Limiter bounds what each workspace has run at all VMs together. It is used by
// several goroutines.
type Limiter interface {
	// Take counts a request of a workspace, or says why it may not run. It may ask
	// another VM, but returns soon.
	Take(ctx context.Context, w *workspace.Workspace) Admission
}

// Keys says how far what this VM knows of API keys can be trusted.
type Keys interface {
	// Renew returns once what is known of keys is younger than the call, or after
	// a short while. However many requests with unknown keys come, the questions
	// that it asks of others are bounded.
	Renew(ctx context.Context, key workspace.Digest)
	// Certain reports whether keys that were taken away in time are known to be;
	// requests that need a key are refused while they are not.
	Certain() bool
	// Current reports whether a key that was given in time is known by now.
	Current() bool
}

// unbounded is the Limiter and the Keys of a Handler without any.
type unbounded struct{}

func (unbounded) Take(context.Context, *workspace.Workspace) Admission { return Admission{} }
func (unbounded) Renew(context.Context, workspace.Digest)              {}
func (unbounded) Certain() bool                                        { return true }
func (unbounded) Current() bool                                        { return true }

// identify finds the workspace of a request by its API key, and answers the request
// if it may not be served. Nothing of the key but a short digest is noted.
func (q *request) identify(s *placement.Snapshot) (served bool) {
	directory := s.Routes.Workspaces()
	if directory == nil {
		return true
	}
	q.hideKey = true
	key, given := q.handler.cfg.Dialect.APIKey(q.in)
	switch {
	case !given && q.route.Public:
		return true
	case !given:
		q.reject(http.StatusUnauthorized, reasonNoKey)
		return false
	}
	digest := workspace.DigestOf(key)
	found, ok := directory.FindByKey(digest)
	if !ok && !q.route.Public {
		q.handler.cfg.Keys.Renew(q.in.Context(), digest)
		found, ok = q.handler.cfg.Snapshot().Routes.Workspaces().FindByKey(digest)
	}
	q.note("key", digest.String())
	if ok {
		q.workspace = found
		q.note("workspace", found.Name())
	}
	return q.keyHolds(ok)
}

// keyHolds reports whether a request with a key may be served, and answers it if
// not: 401 only if the key would be known if there were one.
func (q *request) keyHolds(known bool) bool {
	switch {
	case q.route.Public:
		return true
	case !q.handler.cfg.Keys.Certain(), !known && !q.handler.cfg.Keys.Current():
		q.refuse(reasonKeysOld)
		return false
	case !known:
		q.reject(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	return true
}

// admit takes the request into its workspace's quota, or answers it.
func (q *request) admit() (served bool) {
	if q.workspace == nil {
		return true
	}
	q.admission = q.handler.cfg.Limiter.Take(q.in.Context(), q.workspace)
	switch q.admission.Verdict {
	case AdmissionOver:
		q.refuseOver()
		return false
	case AdmissionUnknown:
		q.refuse(reasonQuotaUnknown)
		return false
	case AdmissionPassed:
	}
	return true
}

// refuseOver answers a request for which its workspace's quota has no room.
func (q *request) refuseOver() {
	q.note("quota", q.admission.Why)
	q.handler.cfg.Metrics.Refused(reasonOverQuota)
	q.finish(reasonOverQuota, http.StatusTooManyRequests)
	q.out.Header().Set("Retry-After", strconv.FormatFloat(q.admission.After.Seconds(), 'f', 3, 64))
	q.end(http.StatusTooManyRequests)
}

// leaveQuota gives a request that no worker has run back to its workspace's quota.
func (q *request) leaveQuota() {
	if q.admission.Refund != nil && !q.headSent && !q.mayHaveRun {
		q.admission.Refund()
	}
}

// allowsRegion reports whether the request may run in a region: the homes of its
// route and of its workspace both bind.
func (q *request) allowsRegion(region string) bool {
	return q.route.AllowsRegion(region) && (q.workspace == nil || q.workspace.AllowsRegion(region))
}
