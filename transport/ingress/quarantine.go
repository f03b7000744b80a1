// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// reasonQuarantined is used for a request that matches a quarantine entry.
	reasonQuarantined = "quarantined"
	// maxHangUps is after how many closed connections, counted over all attempts at
	// this VM, a request is no longer retried when a worker closes the connection.
	// It is more than 1 so that requests in flight at a crashing worker are retried.
	maxHangUps = 2
	// maxFingerprintBody is the largest body, in bytes, for which a fingerprint is
	// computed just to report that the request was answered.
	maxFingerprintBody = 64 << 10
)

// Quarantine tracks requests that crash workers. It must be safe for concurrent use.
type Quarantine interface {
	// Find returns the quarantine entry that matches a request to a target.
	Find(target uint64, fingerprint func() quarantine.Fingerprint) (quarantine.Entry, bool)
	// HungUp reports that a worker closed the connection during a request.
	HungUp(h poison.HangUp)
	// HungUpAtProxy records that a worker closed the connection of a proxy, which reports
	// it.
	HungUpAtProxy(f quarantine.Fingerprint)
	// Answered reports that a worker answered a request.
	Answered(f quarantine.Fingerprint)
	// HangUps returns how many workers have closed the connection during a request
	// at this VM since the request was last answered.
	HangUps(f quarantine.Fingerprint) int
}

// noQuarantine is the default Quarantine of a Handler.
type noQuarantine struct{}

func (noQuarantine) Find(uint64, func() quarantine.Fingerprint) (quarantine.Entry, bool) {
	return quarantine.Entry{}, false
}
func (noQuarantine) HungUp(poison.HangUp)                 {}
func (noQuarantine) HungUpAtProxy(quarantine.Fingerprint) {}
func (noQuarantine) Answered(quarantine.Fingerprint)      {}
func (noQuarantine) HangUps(quarantine.Fingerprint) int   { return 0 }

// fingerprint returns the fingerprint of the request, computed on first use.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.cachedFingerprint == nil {
		credential, _ := q.handler.cfg.Dialect.APIKey(q.req)
		f := quarantine.ComputeFingerprint(quarantine.Identity{
			Method: q.req.Method, Host: q.req.Host, Target: q.req.RequestURI,
			Credential: credential, Body: q.body.buffered, Length: q.body.length,
		})
		q.cachedFingerprint = &f
	}
	return *q.cachedFingerprint
}

func (q *request) subject() string {
	// A path may be any bytes, which messages to other VMs do not carry as text.
	return strings.ToValidUTF8(q.req.Method+" "+q.req.Host+q.req.URL.Path, "\uFFFD")
}

// refuseQuarantined responds to a request that is quarantined, and reports whether it
// is. If no worker has run the request, it responds with 503 and the end of the
// quarantine in Retry-After: a 4xx status would be final for a client whose request
// did not cause the crashes.
func (q *request) refuseQuarantined() bool {
	e, found := q.handler.cfg.Quarantine.Find(quarantine.HashTarget(q.req.Host, q.req.RequestURI), q.fingerprint)
	if !found {
		return false
	}
	q.addInput("quarantine", fmt.Sprintf("%s: workers ended under it: %v; held until %s", e.Fingerprint, e.Workers, e.Until.UTC().Format(time.RFC3339)))
	if q.mayHaveRun {
		q.reject(http.StatusBadGateway, reasonQuarantined)
		return true
	}
	q.handler.cfg.Metrics.Refused(reasonQuarantined)
	q.recordOutcome(reasonQuarantined, http.StatusServiceUnavailable)
	after := max(math.Ceil(e.Until.Sub(q.handler.cfg.Now()).Seconds()), 1)
	q.writer.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', 0, 64))
	q.writeStatus(http.StatusServiceUnavailable)
	return true
}

// reportHangUp reports that a worker closed the connection during this request, which
// may have crashed it.
func (q *request) reportHangUp(c placement.Choice) {
	w, others := c.Worker(), c.Load().InFlight()-1
	q.handler.cfg.Metrics.HungUp(w.Service)
	q.addInput("worker hung up", fmt.Sprintf("%s at %s, %d others of this VM there", q.fingerprint(), w.ID, others))
	q.handler.cfg.Quarantine.HungUp(poison.HangUp{
		Fingerprint: q.fingerprint(), TargetHash: quarantine.HashTarget(q.req.Host, q.req.RequestURI),
		Subject: q.subject(), Service: w.Service, Worker: w.ID, At: q.handler.cfg.Now(),
	})
}

// reportAnswered reports that a worker answered, so that the request did not crash it.
// A 5xx status is not reported, since the request may not have been run.
func (q *request) reportAnswered(status int) {
	if status >= http.StatusInternalServerError || q.cachedFingerprint == nil && q.body.length > maxFingerprintBody {
		return
	}
	q.handler.cfg.Quarantine.Answered(q.fingerprint())
}

// suspected reports whether the request may have crashed the worker that closed its connection.
func (q *request) suspected(f *failure) bool {
	return f.peerClosed && q.handler.cfg.Quarantine.HangUps(q.fingerprint()) >= maxHangUps
}
