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
	// namedVMs is how many VMs a look-up names.
	namedVMs = 3
	// ticketTerm is how long a ticket is good after the look-up has lapsed.
	ticketTerm = 2 * time.Minute
)

// Answer is the JSON answer to a look-up.
type Answer struct {
	Service    string  `json:"service"`
	Client     string  `json:"client"`
	Hall       string  `json:"hall"`
	VMs        []Named `json:"vms"`
	TTLMillis  int64   `json:"ttl_ms"`
	Generation uint64  `json:"generation"`
	// Ticket is for one request that may run only once, to the first VM.
	Ticket string `json:"ticket"`
}

// Named is one VM of an answer.
type Named struct {
	ID    string `json:"id"`
	Hall  string `json:"hall"`
	Entry string `json:"entry"`
}

// LookupConfig sets up a Lookup. All fields are required.
type LookupConfig struct {
	View    func() *view.View
	Members *membership.Table
	// Start asks a VM for its start number, if none is known yet.
	Start func(ctx context.Context, m membership.Member) (uint64, error)
}

// Lookup answers look-ups. It is safe for concurrent use.
type Lookup struct {
	cfg LookupConfig
}

// NewLookup returns a Lookup.
func NewLookup(cfg LookupConfig) *Lookup { return &Lookup{cfg: cfg} }

// Find names the VMs for a client of a service: those of its home hall or, once
// a drain of that hall is done, of the halls that took over; then others, in
// case none of these can be reached.
func (l *Lookup) Find(ctx context.Context, service string, client netip.Addr) (Answer, *outcome.Failure) {
	v := l.cfg.View()
	if _, ok := v.Service(service); !ok {
		return Answer{}, lookupFailure(outcome.CodeUnknownService, errors.Newf("service %q is unknown", service))
	}
	hall, ok := v.Home(client)
	if !ok {
		return Answer{}, lookupFailure(outcome.CodeNoBlock, errors.Newf("no block holds client %s", client))
	}
	hall = Destination(v, service, hall, client)
	members := l.members(v, service, hall, client)
	if len(members) == 0 {
		return Answer{}, lookupFailure(outcome.CodeNoVM, errors.New("no VM is known to be live")).WithRetryAfter(time.Second)
	}
	ttl := v.Fleet().TTL()
	ticket := l.ticket(ctx, members, ttl)
	answer := Answer{
		Service: service, Client: client.String(), Hall: hall,
		TTLMillis: ttl.Milliseconds(), Generation: v.Generation(), Ticket: ticket,
	}
	for _, m := range members {
		answer.VMs = append(answer.VMs, Named{ID: m.ID, Hall: m.Hall, Entry: m.Entry})
	}
	return answer, nil
}

func lookupFailure(code outcome.Code, err error) *outcome.Failure {
	return outcome.New(code, outcome.NotRun, "look up", "", err)
}

// Destination follows drains that are done from a home hall to the hall that
// its clients are sent to now. Each hall is passed at most once.
func Destination(v *view.View, service, hall string, client netip.Addr) string {
	seen := map[string]bool{}
	for !seen[hall] {
		seen[hall] = true
		for _, m := range v.Moves(service, hall) {
			if m.Settled() {
				hall = targetOf(m, client)
				break
			}
		}
	}
	return hall
}

func targetOf(m *spec.Move, client netip.Addr) string {
	weights := make([]uint32, len(m.Targets))
	for i, t := range m.Targets {
		weights[i] = t.Weight
	}
	return m.Targets[max(0, share.PickWeighted(m.ID, share.ClientKey(client), weights))].Hall
}

// members returns the VMs to name. Within a hall they are ranked by the client,
// so that clients spread evenly and each keeps to one VM while that lives.
func (l *Lookup) members(v *view.View, service, hall string, client netip.Addr) []membership.Member {
	named := l.ranked(hall, client)
	for _, other := range v.Nearest(hall, service) {
		if len(named) >= namedVMs {
			break
		}
		named = append(named, l.ranked(other, client)...)
	}
	return named[:min(len(named), namedVMs)]
}

func (l *Lookup) ranked(hall string, client netip.Addr) []membership.Member {
	members := l.cfg.Members.Hall(hall)
	byID := make(map[string]membership.Member, len(members))
	ids := make([]string, 0, len(members))
	for _, m := range members {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	top := assign.Top(client.String(), ids, namedVMs)
	ranked := make([]membership.Member, 0, len(top))
	for _, id := range top {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

// ticket issues a ticket for the first VM whose start number is known or can be
// asked for, and puts that VM first. It returns "" if there is none.
func (l *Lookup) ticket(ctx context.Context, members []membership.Member, ttl time.Duration) string {
	for i, m := range members {
		if m.Start == 0 {
			start, err := l.cfg.Start(ctx, m)
			if err != nil {
				continue
			}
			m.Start = start
		}
		members[0], members[i] = members[i], members[0]
		return attempt.NewTicket(m.ID, m.Start, time.Now().Add(ttl+ticketTerm)).String()
	}
	return ""
}
