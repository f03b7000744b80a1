// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// reasonQuarantined is for a request that ends the workers which run it.
	reasonQuarantined = "quarantined"
	// mostHangUps is how many workers may hang up on a request at this VM, over all
	// attempts, until it is not sent on by itself any more after one that did. At 1,
	// requests that are under way at a worker that ends would not be tried again.
	mostHangUps = 2
	// rememberedBody bounds, in bytes, the bodies of the requests of which it is
	// remembered that they were answered: a fingerprint of 64 KB takes 0.05 ms.
	rememberedBody = 64 << 10
)

// Quarantine knows the requests that end workers. It is used by several goroutines.
type Quarantine interface {
	// Find returns the entry that holds a request to a target.
	Find(target uint64, fingerprint func() quarantine.Fingerprint) (quarantine.Entry, bool)
	// HungUp notes that a worker hung up on a request.
	HungUp(h poison.HangUp)
	// Answered notes that a worker answered a request.
	Answered(f quarantine.Fingerprint)
	// HangUps returns how many workers have hung up on a request at this VM since it
	// was last answered.
	HangUps(f quarantine.Fingerprint) int
}

// noQuarantine is the Quarantine of a Handler without one.
type noQuarantine struct{}

func (noQuarantine) Find(uint64, func() quarantine.Fingerprint) (quarantine.Entry, bool) {
	return quarantine.Entry{}, false
}
func (noQuarantine) HungUp(poison.HangUp)               {}
func (noQuarantine) Answered(quarantine.Fingerprint)    {}
func (noQuarantine) HangUps(quarantine.Fingerprint) int { return 0 }

// fingerprint returns what tells this request apart from others.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.print == nil {
		credential, _ := q.handler.cfg.Dialect.APIKey(q.in)
		f := quarantine.ComputeFingerprint(quarantine.Identity{
			Method: q.in.Method, Host: q.in.Host, Target: q.in.RequestURI,
			Credential: credential, Body: q.body.held, Length: q.body.length,
		})
		q.print = &f
	}
	return *q.print
}

func (q *request) subject() string { return q.in.Method + " " + q.in.Host + q.in.URL.Path }

// refuseQuarantined answers a request that ends workers, and reports whether it is one.
// An attempt that was not sent is refused as not run, which is true; its client may
// come back once the request is held no more. A client error would be final for a
// caller whose request is innocent after all.
func (q *request) refuseQuarantined() bool {
	e, held := q.handler.cfg.Quarantine.Find(quarantine.HashTarget(q.in.Host, q.in.RequestURI), q.fingerprint)
	if !held {
		return false
	}
	q.note("quarantine", fmt.Sprintf("%s: workers ended under it: %v; held until %s", e.Fingerprint, e.Workers, e.Until.UTC().Format(time.RFC3339)))
	if q.mayHaveRun {
		q.reject(http.StatusBadGateway, reasonQuarantined)
		return true
	}
	q.handler.cfg.Metrics.Refused(reasonQuarantined)
	q.finish(reasonQuarantined, http.StatusServiceUnavailable)
	after := max(math.Ceil(e.Until.Sub(q.handler.cfg.Now()).Seconds()), 1)
	q.out.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', 0, 64))
	q.end(http.StatusServiceUnavailable)
	return true
}

// noteHangUp notes that a worker ended the connection while it had this request: its
// process may have ended, and the request may be why.
func (q *request) noteHangUp(c placement.Choice) {
	w, others := c.Worker(), c.Load().InFlight()-1
	q.handler.cfg.Metrics.HungUp(w.Service)
	q.note("worker hung up", fmt.Sprintf("%s at %s, %d others of this VM there", q.fingerprint(), w.ID, others))
	q.handler.cfg.Quarantine.HungUp(poison.HangUp{
		Fingerprint: q.fingerprint(), TargetHash: quarantine.HashTarget(q.in.Host, q.in.RequestURI),
		Subject: q.subject(), Service: w.Service, Worker: w.ID, At: q.handler.cfg.Now(),
	})
}

// noteAnswer notes that a worker answered, which a request that ends workers never is.
// A status that speaks against the worker says nothing: a request that waited in vain
// was not run.
func (q *request) noteAnswer(status int) {
	if status >= http.StatusInternalServerError || q.print == nil && q.body.length > rememberedBody {
		return
	}
	q.handler.cfg.Quarantine.Answered(q.fingerprint())
}

// suspect reports whether a request whose worker has just hung up may be the cause.
func (q *request) suspect(f *failure) bool {
	return f.hungUp && q.handler.cfg.Quarantine.HangUps(q.fingerprint()) >= mostHangUps
}
