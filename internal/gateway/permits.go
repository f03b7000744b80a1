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
	// permitWait bounds for how long a request waits for a permit. The question itself goes
	// on for up to probeTimeout: over a long way the first one has to connect as well.
	permitWait = 150 * time.Millisecond
	// permitWindow is the longest time after which a denied request is told to come back.
	permitWindow = time.Second
	// noIssuerWait is the same if there is no VM to ask.
	noIssuerWait = 200 * time.Millisecond
	// maxPermitLives bounds the workers of one question, and maxPermitsWanted the requests
	// to one of them.
	maxPermitLives   = 1024
	maxPermitsWanted = 1 << 12
	// maxBorrowers bounds the issuers and priorities for which questions are gathered.
	maxBorrowers = 4096
)

// Results of a wanted permit.
const (
	permitGranted = "granted"
	permitDenied  = "denied"
)

// issuerKey is whom permits of one priority are asked of.
type issuerKey struct {
	vm       string
	priority int
}

// permits implements placement.Permits: each worker that names a limit has one VM that
// hands out what it takes from all. It is safe for concurrent use.
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
func (p *permits) Acquire(w *worker.Worker, perS float64, priority int) (wait time.Duration, ok bool) {
	vm, found := p.issuerOf(w)
	switch {
	case !found:
		wait = noIssuerWait
	case vm == p.gateway.cfg.VM:
		grant := p.issue(w, perS, priority, 1)
		wait, ok = grant.RetryAfter, grant.Requests > 0
	default:
		ctx, cancel := context.WithTimeout(context.Background(), permitWait)
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

// issuerOf returns the VM that hands out what a worker takes: one of its region, or any if
// none of that is live. A VM that has just started knows of none. One that does not answer
// is not passed over until it is known to be gone: VMs that each turn to another would hand
// out the limit several times.
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

// issue hands out requests to a worker, if this VM takes itself for the one that does so.
func (p *permits) issue(w *worker.Worker, perS float64, priority, wanted int) ratelimit.Grant {
	live, listed := p.gateway.Live(w.Region)
	if vm, found := p.issuerOf(w); listed == 0 || !found || vm != p.gateway.cfg.VM {
		return ratelimit.Grant{RetryAfter: noIssuerWait}
	}
	return p.issuer.Issue(ratelimit.Demand{
		Instance: w.Incarnation(), RatePerSecond: perS, LiveVMs: len(live), ListedVMs: listed, Priority: priority, Requests: wanted,
	})
}

// borrower returns what gathers the questions to a VM.
func (p *permits) borrower(key issuerKey) *ratelimit.Borrower {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.borrowers[key]
	if !ok {
		if len(p.borrowers) >= maxBorrowers {
			clear(p.borrowers)
		}
		b = ratelimit.NewBorrower(ratelimit.BorrowerConfig{
			QueryPool: func(want ratelimit.RequestCounts) (ratelimit.Grants, error) { return p.ask(key, want) }, Window: permitWindow, Now: clock.Now,
		})
		p.borrowers[key] = b
	}
	return b
}

// ask asks another VM for requests to workers, by their lives.
func (p *permits) ask(key issuerKey, want ratelimit.RequestCounts) (ratelimit.Grants, error) {
	g := p.gateway
	m, known := g.members.Member(key.vm)
	if !known {
		return nil, errors.Newf("permits: %s is not known any more", key.vm)
	}
	demand := &peerpb.PermitDemand{Priority: uint32(key.priority), Signals: p.toldLimits(want)}
	for life, n := range want {
		if len(demand.GetLives()) == maxPermitLives {
			break
		}
		demand.Lives, demand.Wanted = append(demand.GetLives(), life), append(demand.GetWanted(), uint32(min(n, maxPermitsWanted)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_PermitDemand{PermitDemand: demand}})
	g.cfg.Metrics.PeerCall("permits", err)
	answer := reply.GetPermits()
	if err == nil && (len(answer.GetGranted()) != len(demand.GetLives()) || len(answer.GetWaitMillis()) != len(demand.GetLives())) {
		err = errors.Newf("permits: %s answers something else", m.ID)
	}
	if err != nil {
		g.log.V(1).Info("permits: the VM that hands them out does not answer", "peer", m.ID, "error", err.Error())
		return nil, err
	}
	g.hearSignals(m.ID, answer.GetSignals())
	granted := make(ratelimit.Grants, len(want))
	for i, life := range demand.GetLives() {
		granted[life] = ratelimit.Grant{
			Requests:   int(answer.GetGranted()[i]),
			RetryAfter: min(time.Duration(answer.GetWaitMillis()[i])*time.Millisecond, permitWindow),
		}
	}
	return granted, nil
}

// toldLimits returns what is known of the limits of some workers.
func (p *permits) toldLimits(want ratelimit.RequestCounts) map[string]*peerpb.WorkerSignals {
	now, limited := clock.Now(), p.gateway.loads.Constrained()
	told := make(map[string]*peerpb.WorkerSignals, len(want))
	for life := range want {
		if load, ok := limited[life]; ok && len(told) < maxSignals {
			told[life] = toldLimit(now, load.RateLimit())
		}
	}
	return told
}

// answer hands out requests to another VM.
func (p *permits) answer(from string, demand *peerpb.PermitDemand) *peerpb.Permits {
	g := p.gateway
	g.hearSignals(from, demand.GetSignals())
	lives, wanted := demand.GetLives(), demand.GetWanted()
	lives = lives[:min(len(lives), len(wanted), maxPermitLives)]
	answer, want := &peerpb.Permits{}, make(ratelimit.RequestCounts, len(lives))
	for i, life := range lives {
		n := int(min(wanted[i], maxPermitsWanted))
		grant := p.issueLife(life, int(min(demand.GetPriority(), maxPriority)), n)
		answer.Granted = append(answer.Granted, uint32(grant.Requests))
		answer.WaitMillis = append(answer.WaitMillis, uint32(grant.RetryAfter.Milliseconds()))
		want[life] = n
	}
	answer.Signals = p.toldLimits(want)
	return answer
}

// maxPriority bounds the priority of a question.
const maxPriority = 1 << 10

// issueLife hands out requests to a worker by the limit that this VM knows. One that names
// none takes all.
func (p *permits) issueLife(life string, priority, wanted int) ratelimit.Grant {
	s := p.gateway.snapshot.Load()
	if s == nil {
		return ratelimit.Grant{RetryAfter: noIssuerWait}
	}
	w, ok := s.Workers.ByIncarnation(life)
	if !ok {
		return ratelimit.Grant{RetryAfter: noIssuerWait}
	}
	perS, limited := p.gateway.loads.RateLimit(w)
	if !limited {
		return ratelimit.Grant{Requests: wanted}
	}
	return p.issue(w, perS, priority, wanted)
}
