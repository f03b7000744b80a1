// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/ratelimit"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/workspace"
	"github.com/ryehill/ryehill/transport/ingress"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// loanInterval is the time between two renewals of a loan: two may be lost.
	loanInterval = ratelimit.LoanDuration / 3
	// loanRetryInterval is the retry interval while no pool holds this VM's loan: the
	// first query to a pool only returns its clock.
	loanRetryInterval = 50 * time.Millisecond
	// poolQueryTimeout bounds a query to a pool, since a request waits for it. It leaves
	// room for a small VM that is throttled by its CPU quota.
	poolQueryTimeout = 150 * time.Millisecond
	// maxQueryWorkspaces bounds the workspaces in one query.
	maxQueryWorkspaces = 4096
	// minRetryAfter is the shortest retry delay for a rejected client: a few round trips
	// and the time for which the pool is not queried again.
	minRetryAfter = 250 * time.Millisecond
	// retryAfterJitter is the fraction by which retry delays are spread, so that clients
	// rejected together do not retry together.
	retryAfterJitter = 0.25
)

// quotas enforces the rate limits of workspaces: first with this VM's own share, then
// with the pool of its region.
type quotas struct {
	local    *ratelimit.LocalLimiter
	pool     *ratelimit.Pool
	lender   *ratelimit.Lender
	borrower *ratelimit.Borrower
	// avoided are the VMs that recently failed to respond as pools.
	avoided *avoided
	// reportedVMs is the number of listed VMs reported by a peer, 0 if unknown.
	reportedVMs atomic.Uint32
}

func newQuotas(g *Gateway) *quotas {
	bounds := g.cfg.Bounds.Quota
	return &quotas{
		local:    ratelimit.NewLocalLimiter(ratelimit.Config{Bounds: bounds, VMs: g.listedVMs, Now: clock.Now}),
		pool:     ratelimit.NewPool(bounds, clock.Now),
		lender:   ratelimit.NewLender(clock.Now),
		borrower: ratelimit.NewBorrower(ratelimit.BorrowerConfig{QueryPool: g.queryPool, Window: bounds.Window, Now: clock.Now}),
		avoided:  newAvoided(),
	}
}

// listedVMs returns the number of VMs that share each limit, 0 if unknown. A starting VM
// gets the member list late, since it is large; until then the number from the first peer
// response is used.
func (g *Gateway) listedVMs() int {
	if _, known := g.replica.CompleteUpTo(g.cfg.Codec.MemberKind()); known {
		return g.members.ListedCount()
	}
	return int(g.quotas.reportedVMs.Load())
}

// recordListedVMs records the number of listed VMs reported by a peer.
func (g *Gateway) recordListedVMs(n uint32) {
	if n > 0 && n <= spec.MaxVMs {
		g.quotas.reportedVMs.Store(n)
	}
}

// Admit implements ingress.Limiter.
func (g *Gateway) Admit(ctx context.Context, w *workspace.Workspace) ingress.Admission {
	limit := w.Limit()
	if limit.Unlimited() {
		return ingress.Admission{Verdict: ingress.AdmissionAllowed}
	}
	vms := g.listedVMs()
	if vms == 0 {
		return ingress.Admission{Verdict: ingress.AdmissionQuotaUnknown}
	}
	if g.quotas.local.TakeToken(w.Name(), limit) {
		return ingress.Admission{Verdict: ingress.AdmissionAllowed, Refund: func() { g.quotas.local.Refund(w.Name()) }}
	}
	wait, ok := g.quotas.borrower.TakeToken(ctx, w.Name())
	if ok {
		return ingress.Admission{Verdict: ingress.AdmissionAllowed}
	}
	pool, lent := g.quotas.lender.CurrentPool()
	reason := fmt.Sprintf("limit %.0f a second and %.0f at once, divided among %d VMs; own part used up, nothing left at the pool %s (it has this VM's part: %t)",
		limit.Rate, limit.Burst, vms, pool, lent)
	return ingress.Admission{
		Verdict: ingress.AdmissionOverQuota, RetryAfter: max(wait, minRetryAfter) + time.Duration(rand.Float64()*retryAfterJitter*float64(wait)), Reason: reason,
	}
}

// poolVM returns the VM that acts as the pool of this region.
func (g *Gateway) poolVM(now time.Time) membership.Member {
	c := g.candidates(now, func(m membership.Member) bool { return g.inRegion(m) && !g.quotas.avoided.has(m.ID, now) })
	if g.members.Self().State == membership.StateLeaving && len(c) > 1 {
		delete(c, g.cfg.VM)
	}
	return c.first("quota/" + g.region())
}

// quotaLoop lends this VM's shares to the pool of its region while there are
// workspaces with limits.
func (g *Gateway) quotaLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := loanInterval
		if _, lent := g.quotas.lender.CurrentPool(); !lent {
			wait = loanRetryInterval
		}
		sleep(ctx, wait)
		if s := g.snapshot.Load(); s == nil || s.Routes.Workspaces().Len() == 0 || g.listedVMs() == 0 {
			continue
		}
		g.recallLoan()
		if _, err := g.queryPool(nil); err != nil {
			g.log.V(1).Info("quota: loan not renewed", "error", err.Error())
		}
	}
}

// recallLoan makes the pool that holds this VM's loan return it if that VM is no longer
// the pool of the region. A pool that does not respond keeps the loan until it expires.
func (g *Gateway) recallLoan() {
	holder, lent := g.quotas.lender.CurrentPool()
	if !lent || holder == g.poolVM(clock.Now()).ID {
		return
	}
	if holder == g.cfg.VM {
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: g.cfg.VM})
		g.quotas.lender.LoanReturned(holder)
		return
	}
	m, known := g.members.Member(holder)
	if !known {
		return
	}
	if _, err := g.callPool(m, &peerpb.Allow{Vms: uint32(g.listedVMs())}); err != nil {
		g.log.V(1).Info("quota: loan not returned", "peer", holder, "error", err.Error())
		return
	}
	g.quotas.lender.LoanReturned(holder)
}

// queryPool renews this VM's loan to the pool of its region and requests tokens from it.
func (g *Gateway) queryPool(wanted ratelimit.RequestCounts) (ratelimit.Grants, error) {
	now := clock.Now()
	m := g.poolVM(now)
	start, until, offered := g.quotas.lender.OfferLoan(m.ID)
	if m.ID == g.cfg.VM {
		return g.queryLocalPool(wanted, until, offered), nil
	}
	message := &peerpb.Allow{}
	if offered {
		message.Start, message.UntilMillis, message.Vms = start, uint64(until.Milliseconds()), uint32(g.listedVMs())
	}
	for name, n := range wanted {
		if len(message.GetWorkspaces()) == maxQueryWorkspaces {
			break
		}
		message.Workspaces = append(message.Workspaces, name)
		message.Wanted = append(message.Wanted, uint32(n))
	}
	answer, err := g.callPool(m, message)
	if err != nil {
		g.quotas.avoided.add(m.ID, now)
		g.log.Info("quota: pool unavailable", "peer", m.ID, "error", err.Error())
		return nil, err
	}
	g.quotas.lender.ObserveClock(m.ID, answer.GetStart(), time.Duration(answer.GetClockMillis())*time.Millisecond)
	granted := make(ratelimit.Grants, len(wanted))
	for i, name := range message.GetWorkspaces()[:min(len(message.GetWorkspaces()), len(answer.GetGranted()), len(answer.GetWaitMillis()))] {
		granted[name] = ratelimit.Grant{
			Requests: int(answer.GetGranted()[i]), RetryAfter: time.Duration(answer.GetWaitMillis()[i]) * time.Millisecond,
		}
	}
	return granted, nil
}

// callPool sends one query to a pool. A response that comes after its grants expire is
// not awaited.
func (g *Gateway) callPool(m membership.Member, message *peerpb.Allow) (*peerpb.Allowed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), poolQueryTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Allow{Allow: message}})
	g.cfg.Metrics.PeerCall("allow", err)
	if err != nil {
		return nil, err
	}
	if reply.GetAllowed() == nil {
		return nil, errors.Newf("quota: unexpected response from %s", m.ID)
	}
	return reply.GetAllowed(), nil
}

// queryLocalPool handles this VM's own query when it is the pool.
func (g *Gateway) queryLocalPool(wanted ratelimit.RequestCounts, until time.Duration, offered bool) ratelimit.Grants {
	if offered {
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: g.cfg.VM, VMs: g.listedVMs(), Until: g.started.Add(until)})
	}
	g.quotas.lender.ObserveClock(g.cfg.VM, g.self.Start, clock.Since(g.started))
	granted := make(ratelimit.Grants, len(wanted))
	for name, n := range wanted {
		granted[name] = g.grantRequests(name, n)
	}
	return granted
}

// grantRequests grants requests of a workspace from the pool, by the limit known to this
// VM.
func (g *Gateway) grantRequests(name string, n int) ratelimit.Grant {
	if s := g.snapshot.Load(); s != nil {
		if w, ok := s.Routes.Workspaces().FindByName(name); ok {
			return g.quotas.pool.TakeTokens(name, w.Limit(), n)
		}
	}
	return ratelimit.Grant{RetryAfter: g.cfg.Bounds.Quota.Window}
}

// handleAllow handles a pool query from another VM.
func (g *Gateway) handleAllow(from string, request *peerpb.Allow) *peerpb.Allowed {
	switch {
	case request.GetVms() == 0:
	case request.GetUntilMillis() == 0:
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: from})
	case request.GetStart() == g.self.Start:
		until := g.started.Add(time.Duration(min(request.GetUntilMillis(), maxClockMillis)) * time.Millisecond)
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: from, VMs: int(request.GetVms()), Until: until})
	}
	answer := &peerpb.Allowed{Start: g.self.Start}
	workspaces, wanted := request.GetWorkspaces(), request.GetWanted()
	for i, name := range workspaces[:min(len(workspaces), len(wanted), maxQueryWorkspaces)] {
		grant := g.grantRequests(name, int(min(wanted[i], maxRequestsPerWorkspace)))
		answer.Granted = append(answer.Granted, uint32(grant.Requests))
		answer.WaitMillis = append(answer.WaitMillis, uint32(grant.RetryAfter.Milliseconds()))
	}
	answer.ClockMillis = uint64(clock.Since(g.started).Milliseconds())
	return answer
}

const (
	// maxRequestsPerWorkspace bounds the requests of one workspace in one query.
	maxRequestsPerWorkspace = 1 << 16
	// maxClockMillis bounds the clock of a process: ten years.
	maxClockMillis = 10 * 365 * 24 * 3600 * 1000
)
