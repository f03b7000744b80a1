// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
)

// A store that returns from an older copy lacks changes that it had acknowledged. Their
// writers write them again; the times below bound how long a VM waits for that.
const (
	// goneGrace is how long a worker stays out of use whose entry the copy still has. The
	// store removes an entry that its worker does not write for three heartbeats.
	goneGrace = 5 * time.Second
	// closedGrace is how long a hall stays closed whose closing the copy lacks: the time
	// within which a closing must take effect.
	closedGrace = 5 * time.Second
	// memberGrace is how long a VM stays listed whose entry the copy lacks. VMs list the
	// entries once per listInterval.
	memberGrace = 3 * listInterval
	// rolloutGrace is how long an order stays in force that the copy lacks.
	rolloutGrace = 10 * time.Second
)

// replicaPolicy returns which states of earlier eras remain in use, by kind.
func (c *Config) replicaPolicy(kind string) object.Policy {
	newer := func(a, b object.Object) bool { return c.Codec.Newer(kind, a, b) }
	switch kind {
	case c.Codec.ConfigKind():
		return object.Policy{Missing: object.Unlimited, Newer: newer}
	case c.Codec.WorkerKind():
		return object.Policy{Missing: lapseGrace, Deleted: goneGrace, Newer: newer}
	case c.Codec.ClosedKind():
		return object.Policy{Missing: closedGrace}
	case c.Codec.MemberKind():
		return object.Policy{Missing: memberGrace}
	case c.Codec.TrafficKind():
		return object.Policy{Missing: object.Unlimited, Newer: lacksEditOf, EveryUpdate: true}
	case c.Codec.QuarantineKind():
		return object.Policy{Missing: object.Unlimited, Deleted: object.Unlimited}
	case c.Codec.RolloutKind():
		return object.Policy{Missing: rolloutGrace, Newer: newer}
	}
	return object.Policy{}
}

// logEra reports that the replica of a kind has passed to another era.
func (g *Gateway) logEra(c object.EraChange) {
	g.knowledge.recordVersion(c.To)
	g.cfg.Metrics.EraEntered(c.Kind)
	g.log.Info("knowledge: new era", "kind", c.Kind, "era", c.To.Era, "previous", c.From.Era, "revision", c.To.Revision, "previous_revision", c.From.Revision,
		"changed", c.Changed, "kept_missing", c.Missing, "kept_newer", c.Older, "kept_deleted", c.Deleted)
}

// behindEra reports whether a response of the store was of a newer era than the replica
// of a kind.
func (g *Gateway) behindEra(kind string) bool {
	at, known := g.replica.CompleteUpTo(kind)
	return known && at.Era < g.knowledge.storeEra()
}

// staleListsUsable reports whether a stale list of a kind can be applied. It may be some
// seconds old, and so of an earlier era than its response.
func (g *Gateway) staleListsUsable(kind string) bool {
	return !g.behindEra(kind) && clock.Since(g.knowledge.eraSince()) >= listInterval
}

// peerVersion returns a version of a kind that a peer reports. A peer that knows of no
// eras is taken to be in that of this VM, which is not possible once the store has
// returned from a copy.
func (g *Gateway) peerVersion(kind string, revision, era uint64, knowsEras bool) (v object.Version, ok bool) {
	if knowsEras {
		return object.Version{Era: era, Revision: revision}, true
	}
	own, _ := g.replica.CompleteUpTo(kind)
	return object.Version{Era: own.Era, Revision: revision}, !g.replica.PassedEra(kind)
}

// assumeEra sets the eras of a delta from a peer that knows of none, as peerVersion does.
func (g *Gateway) assumeEra(d *object.Delta) bool {
	var ok bool
	d.Since, _ = g.peerVersion(d.Kind, d.Since.Revision, 0, false)
	d.UpTo, ok = g.peerVersion(d.Kind, d.UpTo.Revision, 0, false)
	for i := range d.Events {
		d.Events[i].Version.Era = d.UpTo.Era
	}
	return ok
}

// eras returns the eras of the replicated kinds.
func (g *Gateway) eras() map[string]uint64 {
	eras := make(map[string]uint64)
	for _, kind := range g.replicatedKinds() {
		if at, known := g.replica.CompleteUpTo(kind); known && at.Era > 0 {
			eras[kind] = at.Era
		}
	}
	return eras
}

// maxCarriedBytes bounds the carried states in one reply. Peers get what is left out from
// its writer, who writes it again.
const maxCarriedBytes = 256 << 10

// carriedFor returns the carried states that a requesting VM may lack: those of the kinds
// of which it has another era, and all if it waits for them to serve.
func (g *Gateway) carriedFor(request *peerpb.Sync) []*peerpb.CarriedState {
	var states []*peerpb.CarriedState
	size := 0
	for _, kind := range g.replicatedKinds() {
		own, known := g.replica.CompleteUpTo(kind)
		_, askerKnows := request.GetSince()[kind]
		sameEra := askerKnows && request.GetEras()[kind] == own.Era
		if !known || !request.GetKnowsEras() || sameEra && !request.GetStarting() {
			continue
		}
		for _, c := range g.replica.Carried(kind) {
			if size += len(c.Name) + len(c.Spec); size > maxCarriedBytes {
				return states
			}
			states = append(states, toCarried(kind, c))
		}
	}
	return states
}

// applyCarried takes over a peer's carried states.
func (g *Gateway) applyCarried(states []*peerpb.CarriedState) {
	byKind := make(map[string][]object.Carried)
	for _, s := range states {
		byKind[s.GetKind()] = append(byKind[s.GetKind()], fromCarried(s))
	}
	for _, kind := range g.replicatedKinds() {
		if len(byKind[kind]) > 0 && g.replica.TakeCarried(kind, byKind[kind]) {
			g.log.Info("knowledge: newer states of a peer", "kind", kind, "count", len(byKind[kind]))
		}
	}
}

func toCarried(kind string, c object.Carried) *peerpb.CarriedState {
	out := &peerpb.CarriedState{Kind: kind, Name: c.Name, Era: c.Version.Era, Revision: c.Version.Revision, Gone: c.Deleted, Spec: c.Spec}
	if c.Left != object.Unlimited {
		left := uint32(c.Left.Milliseconds())
		out.LeftMillis = &left
	}
	return out
}

func fromCarried(s *peerpb.CarriedState) object.Carried {
	c := object.Carried{Deleted: s.GetGone(), Left: object.Unlimited, Object: object.Object{
		Name: s.GetName(), Version: object.Version{Era: s.GetEra(), Revision: s.GetRevision()}, Spec: s.GetSpec(),
	}}
	if s.LeftMillis != nil {
		c.Left = time.Duration(s.GetLeftMillis()) * time.Millisecond
	}
	return c
}

// maxLostNames bounds the names in a log line on lost objects.
const maxLostNames = 8

// expireCarried ends the carried states whose time is over, and returns the end of the
// next one, zero if there is none.
func (g *Gateway) expireCarried() (next time.Time) {
	for _, kind := range g.replicatedKinds() {
		ended, end := g.replica.Expire(kind)
		if !end.IsZero() && (next.IsZero() || end.Before(next)) {
			next = end
		}
		if len(ended) == 0 {
			continue
		}
		var names []string
		for _, c := range ended[:min(len(ended), maxLostNames)] {
			names = append(names, truncateText(c.Name))
		}
		g.cfg.Metrics.NotWrittenAgain(kind, len(ended))
		g.log.Info("knowledge: not written again, the store's state applies", "kind", kind, "count", len(ended), "names", names)
	}
	return next
}
