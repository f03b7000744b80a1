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
	// loanLook is the time between two tries while nobody has this VM's parts: the first
	// question to a pool only brings its clock.
	loanLook = 50 * time.Millisecond
	// allowTimeout bounds a question to a pool: a request waits for it. In a region
	// it takes 1 to 3 ms; a small VM is put off for up to 100 ms while its share of
	// a processor is used up.
	allowTimeout = 150 * time.Millisecond
	// maxAllowed bounds the workspaces of one question.
	maxAllowed = 4096
	// leastBack is the least time after which a refused client is told to come back:
	// a few ways and the time that the pool is not asked again.
	leastBack = 250 * time.Millisecond
	// quotaSpread is the part by which times to come back are spread, so that
	// clients which were refused together do not come back together.
	quotaSpread = 0.25
)

// quotas bounds what workspaces have run: by this VM's own parts, then by the pool of
// its region.
type quotas struct {
	own      *ratelimit.LocalLimiter
	pool     *ratelimit.Pool
	lender   *ratelimit.Lender
	borrower *ratelimit.Borrower
	// avoided are the VMs that did not answer as pools.
	avoided *avoided
	// toldVMs is how many VMs a peer has listed, 0 while none has said.
	toldVMs atomic.Uint32
}

func newQuotas(g *Gateway) *quotas {
	bounds := g.cfg.Bounds.Quota
	return &quotas{
		own:      ratelimit.NewLocalLimiter(ratelimit.Config{Bounds: bounds, VMs: g.listedVMs, Now: clock.Now}),
		pool:     ratelimit.NewPool(bounds, clock.Now),
		lender:   ratelimit.NewLender(clock.Now),
		borrower: ratelimit.NewBorrower(ratelimit.BorrowerConfig{QueryPool: g.askPool, Window: bounds.Window, Now: clock.Now}),
		avoided:  newAvoided(),
	}
}

// listedVMs returns how many VMs share each allowance; 0 while that is unknown. The
// list itself is among the last that a VM which starts is told, since it is large and
// nothing else waits for it; the number comes with the first answer of a peer. Of the log
// lines on refusals of 95 VMs after 296 were killed at once, 15 were for a number that was
// not known, and 1 was with it.
func (g *Gateway) listedVMs() int {
	if _, known := g.replica.CompleteUpTo(g.cfg.Codec.MemberKind()); known {
		return g.members.ListedCount()
	}
	return int(g.quotas.toldVMs.Load())
}

// hearListedVMs takes in how many VMs a peer has listed.
func (g *Gateway) hearListedVMs(n uint32) {
	if n > 0 && n <= spec.MaxVMs {
		g.quotas.toldVMs.Store(n)
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
	if g.quotas.own.TakeToken(w.Name(), limit) {
		return ingress.Admission{Verdict: ingress.AdmissionAllowed, Refund: func() { g.quotas.own.Refund(w.Name()) }}
	}
	wait, ok := g.quotas.borrower.TakeToken(ctx, w.Name())
	if ok {
		return ingress.Admission{Verdict: ingress.AdmissionAllowed}
	}
	pool, lent := g.quotas.lender.CurrentPool()
	why := fmt.Sprintf("limit %.0f a second and %.0f at once, divided among %d VMs; own part used up, nothing left at the pool %s (it has this VM's part: %t)",
		limit.Rate, limit.Burst, vms, pool, lent)
	return ingress.Admission{
		Verdict: ingress.AdmissionOverQuota, RetryAfter: max(wait, leastBack) + time.Duration(rand.Float64()*quotaSpread*float64(wait)), Reason: why,
	}
}

// poolVM returns the VM of this region that the others lend to.
func (g *Gateway) poolVM(now time.Time) membership.Member {
	c := g.candidates(now, func(m membership.Member) bool { return g.inRegion(m) && !g.quotas.avoided.has(m.ID, now) })
	if g.members.Self().State == membership.StateLeaving && len(c) > 1 {
		delete(c, g.cfg.VM)
	}
	return c.first("quota/" + g.region())
}

// quotaLoop lends this VM's parts to the pool of its region, as long as there are
// workspaces with limits.
func (g *Gateway) quotaLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := loanInterval
		if _, lent := g.quotas.lender.CurrentPool(); !lent {
			wait = loanLook
		}
		sleep(ctx, wait)
		if s := g.snapshot.Load(); s == nil || s.Routes.Workspaces().Len() == 0 || g.listedVMs() == 0 {
			continue
		}
		g.takeBack()
		if _, err := g.askPool(nil); err != nil {
			g.log.V(1).Info("quota: parts not lent", "error", err.Error())
		}
	}
}

// takeBack asks the VM that has this VM's parts to give them back if another one is
// to have them: it stops, or is not the first choice any more. One that does not
// answer keeps them until the loan ends.
func (g *Gateway) takeBack() {
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
		g.log.V(1).Info("quota: parts not given back", "peer", holder, "error", err.Error())
		return
	}
	g.quotas.lender.LoanReturned(holder)
}

// askPool lends this VM's parts to the pool of its region and asks it for requests.
func (g *Gateway) askPool(want ratelimit.RequestCounts) (ratelimit.Grants, error) {
	now := clock.Now()
	m := g.poolVM(now)
	start, until, offered := g.quotas.lender.OfferLoan(m.ID)
	if m.ID == g.cfg.VM {
		return g.ownPool(want, until, offered), nil
	}
	message := &peerpb.Allow{}
	if offered {
		message.Start, message.UntilMillis, message.Vms = start, uint64(until.Milliseconds()), uint32(g.listedVMs())
	}
	for name, n := range want {
		if len(message.GetWorkspaces()) == maxAllowed {
			break
		}
		message.Workspaces = append(message.Workspaces, name)
		message.Wanted = append(message.Wanted, uint32(n))
	}
	answer, err := g.callPool(m, message)
	if err != nil {
		g.quotas.avoided.add(m.ID, now)
		g.log.Info("quota: the pool does not answer", "peer", m.ID, "error", err.Error())
		return nil, err
	}
	g.quotas.lender.ObserveClock(m.ID, answer.GetStart(), time.Duration(answer.GetClockMillis())*time.Millisecond)
	granted := make(ratelimit.Grants, len(want))
	for i, name := range message.GetWorkspaces()[:min(len(message.GetWorkspaces()), len(answer.GetGranted()), len(answer.GetWaitMillis()))] {
		granted[name] = ratelimit.Grant{
			Requests: int(answer.GetGranted()[i]), RetryAfter: time.Duration(answer.GetWaitMillis()[i]) * time.Millisecond,
		}
	}
	return granted, nil
}

// callPool asks a VM as a pool once. An answer that comes after the time of its grants
// is not waited for.
func (g *Gateway) callPool(m membership.Member, message *peerpb.Allow) (*peerpb.Allowed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), allowTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Allow{Allow: message}})
	g.cfg.Metrics.PeerCall("allow", err)
	if err != nil {
		return nil, err
	}
	if reply.GetAllowed() == nil {
		return nil, errors.Newf("quota: %s answers something else", m.ID)
	}
	return reply.GetAllowed(), nil
}

// ownPool serves this VM's own question as the pool.
func (g *Gateway) ownPool(want ratelimit.RequestCounts, until time.Duration, offered bool) ratelimit.Grants {
	if offered {
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: g.cfg.VM, VMs: g.listedVMs(), Until: g.started.Add(until)})
	}
	g.quotas.lender.ObserveClock(g.cfg.VM, g.self.Start, clock.Since(g.started))
	granted := make(ratelimit.Grants, len(want))
	for name, n := range want {
		granted[name] = g.grant(name, n)
	}
	return granted
}

// grant grants requests of a workspace by the limit that this VM knows.
func (g *Gateway) grant(name string, n int) ratelimit.Grant {
	if s := g.snapshot.Load(); s != nil {
		if w, ok := s.Routes.Workspaces().FindByName(name); ok {
			return g.quotas.pool.TakeTokens(name, w.Limit(), n)
		}
	}
	return ratelimit.Grant{RetryAfter: g.cfg.Bounds.Quota.Window}
}

// allowed answers a VM that takes this one for the pool.
func (g *Gateway) allowed(from string, ask *peerpb.Allow) *peerpb.Allowed {
	switch {
	case ask.GetVms() == 0:
	case ask.GetUntilMillis() == 0:
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: from})
	case ask.GetStart() == g.self.Start:
		until := g.started.Add(time.Duration(min(ask.GetUntilMillis(), maxClockMillis)) * time.Millisecond)
		g.quotas.pool.AddLoan(ratelimit.Loan{VM: from, VMs: int(ask.GetVms()), Until: until})
	}
	answer := &peerpb.Allowed{Start: g.self.Start}
	workspaces, wanted := ask.GetWorkspaces(), ask.GetWanted()
	for i, name := range workspaces[:min(len(workspaces), len(wanted), maxAllowed)] {
		grant := g.grant(name, int(min(wanted[i], maxWanted)))
		answer.Granted = append(answer.Granted, uint32(grant.Requests))
		answer.WaitMillis = append(answer.WaitMillis, uint32(grant.RetryAfter.Milliseconds()))
	}
	answer.ClockMillis = uint64(clock.Since(g.started).Milliseconds())
	return answer
}

const (
	// maxWanted bounds what one question may ask for of one workspace.
	maxWanted = 1 << 16
	// maxClockMillis bounds the clock of a process: ten years.
	maxClockMillis = 10 * 365 * 24 * 3600 * 1000
)
