// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/attempt"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

const (
	// maxLookupVMs is the number of VMs in a lookup response.
	maxLookupVMs = 3
	// ticketGrace is how long a ticket is valid after the TTL of its lookup.
	ticketGrace = 2 * time.Minute
)

// LookupResponse is the JSON response to a lookup.
type LookupResponse struct {
	Service    string     `json:"service"`
	Client     string     `json:"client"`
	Hall       string     `json:"hall"`
	VMs        []LookupVM `json:"vms"`
	TTLMillis  int64      `json:"ttl_ms"`
	Generation uint64     `json:"generation"`
	// Ticket is valid for one request that may run only once, at the first VM.
	Ticket string `json:"ticket"`
}

// LookupVM is one VM of a lookup response.
type LookupVM struct {
	ID    string `json:"id"`
	Hall  string `json:"hall"`
	Entry string `json:"entry"`
}

// LookupConfig configures a Lookup. All fields are required.
type LookupConfig struct {
	View    func() *view.View
	Members *membership.Table
	// Start queries a VM for its start number if that is not known yet.
	Start func(ctx context.Context, m membership.Member) (uint64, error)
}

// Lookup selects the VMs for clients. It is safe for concurrent use.
type Lookup struct {
	cfg LookupConfig
}

// NewLookup returns a Lookup.
func NewLookup(cfg LookupConfig) *Lookup { return &Lookup{cfg: cfg} }

// Resolve returns the VMs for a client of a service: first those of its home
// hall or, if that hall is drained, of the hall that took over the client, then
// those of other halls as fallback.
func (l *Lookup) Resolve(ctx context.Context, service string, client netip.Addr) (LookupResponse, *outcome.Failure) {
	v := l.cfg.View()
	if _, ok := v.Service(service); !ok {
		return LookupResponse{}, lookupFailure(outcome.CodeUnknownService, errors.Newf("service %q is unknown", service))
	}
	hall, ok := v.Home(client)
	if !ok {
		return LookupResponse{}, lookupFailure(outcome.CodeNoBlock, errors.Newf("no block holds client %s", client))
	}
	hall = FollowDrains(v, service, hall, client)
	members := l.selectMembers(v, service, hall, client)
	if len(members) == 0 {
		return LookupResponse{}, lookupFailure(outcome.CodeNoVM, errors.New("no VM is known to be live")).WithRetryAfter(time.Second)
	}
	ttl := v.Fleet().TTL()
	ticket := l.issueTicket(ctx, members, ttl)
	response := LookupResponse{
		Service: service, Client: client.String(), Hall: hall,
		TTLMillis: ttl.Milliseconds(), Generation: v.Generation(), Ticket: ticket,
	}
	for _, m := range members {
		response.VMs = append(response.VMs, LookupVM{ID: m.ID, Hall: m.Hall, Entry: m.Entry})
	}
	return response, nil
}

func lookupFailure(code outcome.Code, err error) *outcome.Failure {
	return outcome.New(code, outcome.NotRun, "look up", "", err)
}

// FollowDrains follows finished drains from a home hall to the hall that serves
// the client now. It visits each hall at most once.
func FollowDrains(v *view.View, service, hall string, client netip.Addr) string {
	seen := map[string]bool{}
	for !seen[hall] {
		seen[hall] = true
		for _, m := range v.Moves(service, hall) {
			if m.DrainCompleted() {
				hall = drainTarget(m, client)
				break
			}
		}
	}
	return hall
}

func drainTarget(m *spec.Move, client netip.Addr) string {
	weights := make([]uint32, len(m.Targets))
	for i, t := range m.Targets {
		weights[i] = t.Weight
	}
	return m.Targets[max(0, share.PickWeighted(m.ID, share.ClientKey(client), weights))].Hall
}

// selectMembers returns the VMs for a lookup response. Within a hall they are
// ranked by the client's address, so that clients spread evenly and each keeps
// its VM while that is live.
func (l *Lookup) selectMembers(v *view.View, service, hall string, client netip.Addr) []membership.Member {
	selected := l.rankMembers(hall, client)
	for _, other := range v.NearestHalls(hall, service) {
		if len(selected) >= maxLookupVMs {
			break
		}
		selected = append(selected, l.rankMembers(other, client)...)
	}
	return selected[:min(len(selected), maxLookupVMs)]
}

func (l *Lookup) rankMembers(hall string, client netip.Addr) []membership.Member {
	members := l.cfg.Members.UsableInHall(hall)
	byID := make(map[string]membership.Member, len(members))
	ids := make([]string, 0, len(members))
	for _, m := range members {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	top := assign.Top(client.String(), ids, maxLookupVMs)
	ranked := make([]membership.Member, 0, len(top))
	for _, id := range top {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

// issueTicket issues a ticket for the first VM whose start number is known or
// can be queried, and moves that VM to the front. It returns "" if there is none.
func (l *Lookup) issueTicket(ctx context.Context, members []membership.Member, ttl time.Duration) string {
	for i, m := range members {
		if m.Start == 0 {
			start, err := l.cfg.Start(ctx, m)
			if err != nil {
				continue
			}
			m.Start = start
		}
		members[0], members[i] = members[i], members[0]
		return attempt.NewTicket(m.ID, m.Start, time.Now().Add(ttl+ticketGrace)).String()
	}
	return ""
}
