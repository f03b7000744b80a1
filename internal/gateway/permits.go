// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/ratelimit"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// permitTimeout bounds how long a request waits for a permit. The query itself runs
	// for up to probeTimeout, since over a long distance the first one also has to
	// connect.
	permitTimeout = 150 * time.Millisecond
	// maxPermitRetryAfter is the longest retry delay of a denied request.
	maxPermitRetryAfter = time.Second
	// noIssuerRetryAfter is the retry delay when there is no issuer to query.
	noIssuerRetryAfter = 200 * time.Millisecond
	// maxPermitWorkers bounds the workers in one query, maxPermitsWanted the requests for
	// each of them.
	maxPermitWorkers = 1024
	maxPermitsWanted = 1 << 12
	// maxBorrowers bounds the pairs of issuer and priority with batched queries.
	maxBorrowers = 4096
)

// Results of a permit request, as metric labels.
const (
	permitGranted = "granted"
	permitDenied  = "denied"
)

// issuerKey identifies the batched queries to one issuer for one priority.
type issuerKey struct {
	vm       string
	priority int
}

// permits implements placement.Permits: for each worker with a rate limit, one VM issues
// the permits for all VMs. It is safe for concurrent use.
type permits struct {
	gateway *Gateway
	issuer  *ratelimit.Issuer

	mu        sync.Mutex
	borrowers map[issuerKey]*ratelimit.Borrower
}

func newPermits(g *Gateway) *permits {
	return &permits{
		gateway: g, issuer: ratelimit.NewIssuer(clock.Now),
		borrowers: make(map[issuerKey]*ratelimit.Borrower),
	}
}

// Acquire implements placement.Permits.
func (p *permits) Acquire(w *worker.Worker, ratePerSecond float64, priority int) (wait time.Duration, ok bool) {
	vm, found := p.issuerOf(w)
	switch {
	case !found:
		wait = noIssuerRetryAfter
	case vm == p.gateway.cfg.VM:
		grant := p.issue(w, ratePerSecond, priority, 1)
		wait, ok = grant.RetryAfter, grant.Requests > 0
	default:
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		wait, ok = p.borrower(issuerKey{vm, priority}).TakeToken(ctx, w.Incarnation())
	}
	result := permitDenied
	if ok {
		result = permitGranted
	}
	p.gateway.cfg.Metrics.Permit(w.Service, result)
	return wait, ok
}

// issuerOf returns the VM that issues permits for a worker: a VM of the worker's region,
// or any if none there is live. There is none while a starting VM knows no other. An
// unresponsive issuer is used until it is no longer live: if VMs switched to different
// issuers, the limit would be granted several times.
func (p *permits) issuerOf(w *worker.Worker) (vm string, found bool) {
	g := p.gateway
	live, _ := g.Live(w.Region)
	if len(live) == 0 {
		for _, region := range g.regions() {
			ids, _ := g.Live(region)
			live = append(live, ids...)
		}
	}
	first := assign.Top(w.Incarnation(), live, 1)
	if len(first) == 0 {
		return "", false
	}
	return first[0], true
}

// issue grants requests to a worker if this VM is the worker's issuer.
func (p *permits) issue(w *worker.Worker, ratePerSecond float64, priority, wanted int) ratelimit.Grant {
	live, listed := p.gateway.Live(w.Region)
	if vm, found := p.issuerOf(w); listed == 0 || !found || vm != p.gateway.cfg.VM {
		return ratelimit.Grant{RetryAfter: noIssuerRetryAfter}
	}
	return p.issuer.Issue(ratelimit.Demand{
		Incarnation: w.Incarnation(), RatePerSecond: ratePerSecond, LiveVMs: len(live), ListedVMs: listed, Priority: priority, Requests: wanted,
	})
}

// borrower returns the borrower that batches queries to an issuer.
func (p *permits) borrower(key issuerKey) *ratelimit.Borrower {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.borrowers[key]
	if !ok {
		if len(p.borrowers) >= maxBorrowers {
			clear(p.borrowers)
		}
		b = ratelimit.NewBorrower(ratelimit.BorrowerConfig{
			QueryPool: func(want ratelimit.RequestCounts) (ratelimit.Grants, error) { return p.queryIssuer(key, want) }, Window: maxPermitRetryAfter, Now: clock.Now,
		})
		p.borrowers[key] = b
	}
	return b
}

// queryIssuer requests permits from another VM, by the incarnations of workers.
func (p *permits) queryIssuer(key issuerKey, wanted ratelimit.RequestCounts) (ratelimit.Grants, error) {
	g := p.gateway
	m, known := g.members.Member(key.vm)
	if !known {
		return nil, errors.Newf("permits: issuer %s is no longer a member", key.vm)
	}
	demand := &peerpb.PermitDemand{Priority: uint32(key.priority), Signals: p.limitSignals(wanted)}
	for incarnation, n := range wanted {
		if len(demand.GetLives()) == maxPermitWorkers {
			break
		}
		demand.Lives, demand.Wanted = append(demand.GetLives(), incarnation), append(demand.GetWanted(), uint32(min(n, maxPermitsWanted)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	envelope, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_PermitDemand{PermitDemand: demand}})
	g.cfg.Metrics.PeerCall("permits", err)
	reply := envelope.GetPermits()
	if err == nil && (len(reply.GetGranted()) != len(demand.GetLives()) || len(reply.GetWaitMillis()) != len(demand.GetLives())) {
		err = errors.Newf("permits: invalid response from %s", m.ID)
	}
	if err != nil {
		g.log.V(1).Info("permits: query to issuer failed", "peer", m.ID, "error", err.Error())
		return nil, err
	}
	g.applySignals(m.ID, reply.GetSignals())
	granted := make(ratelimit.Grants, len(wanted))
	for i, incarnation := range demand.GetLives() {
		granted[incarnation] = ratelimit.Grant{
			Requests:   int(reply.GetGranted()[i]),
			RetryAfter: min(time.Duration(reply.GetWaitMillis()[i])*time.Millisecond, maxPermitRetryAfter),
		}
	}
	return granted, nil
}

// limitSignals returns the known rate limits of the given workers.
func (p *permits) limitSignals(wanted ratelimit.RequestCounts) map[string]*peerpb.WorkerSignals {
	now, limited := clock.Now(), p.gateway.loads.Constrained()
	signals := make(map[string]*peerpb.WorkerSignals, len(wanted))
	for incarnation := range wanted {
		if load, ok := limited[incarnation]; ok && len(signals) < maxSignals {
			signals[incarnation] = limitMessage(now, load.RateLimit())
		}
	}
	return signals
}

// handleDemand handles a permit query from another VM.
func (p *permits) handleDemand(from string, demand *peerpb.PermitDemand) *peerpb.Permits {
	g := p.gateway
	g.applySignals(from, demand.GetSignals())
	incarnations, wanted := demand.GetLives(), demand.GetWanted()
	incarnations = incarnations[:min(len(incarnations), len(wanted), maxPermitWorkers)]
	reply, want := &peerpb.Permits{}, make(ratelimit.RequestCounts, len(incarnations))
	for i, incarnation := range incarnations {
		n := int(min(wanted[i], maxPermitsWanted))
		grant := p.issueByIncarnation(incarnation, int(min(demand.GetPriority(), maxPriority)), n)
		reply.Granted = append(reply.Granted, uint32(grant.Requests))
		reply.WaitMillis = append(reply.WaitMillis, uint32(grant.RetryAfter.Milliseconds()))
		want[incarnation] = n
	}
	reply.Signals = p.limitSignals(want)
	return reply
}

// maxPriority bounds the priority in a query.
const maxPriority = 1 << 10

// issueByIncarnation grants requests to a worker by the limit known to this VM. A worker without a
// limit is granted all.
func (p *permits) issueByIncarnation(incarnation string, priority, wanted int) ratelimit.Grant {
	s := p.gateway.snapshot.Load()
	if s == nil {
		return ratelimit.Grant{RetryAfter: noIssuerRetryAfter}
	}
	w, ok := s.Workers.ByIncarnation(incarnation)
	if !ok {
		return ratelimit.Grant{RetryAfter: noIssuerRetryAfter}
	}
	ratePerSecond, limited := p.gateway.loads.RateLimit(w)
	if !limited {
		return ratelimit.Grant{Requests: wanted}
	}
	return p.issue(w, ratePerSecond, priority, wanted)
}
