// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/coordination/tree"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// quarantineLook is the time between two looks at what there is to tell or to find.
	quarantineLook = 50 * time.Millisecond
	// hangUpSettles is for how long a hang-up is kept back: a request that is tried
	// again and answered meanwhile is not worth a message.
	hangUpSettles = 150 * time.Millisecond
	// detectors is how many VMs of the fleet collect hang-ups, so that one may be lost,
	// and detectorTries how many are tried in their place.
	detectors, detectorTries = 2, 6
	// quarantineTries is how often a VM that does not answer is told of an entry: with
	// probeTimeout for each, a VM that is put off for two seconds hears of it.
	quarantineTries = 3
	// maxHangUps bounds the hang-ups that wait to be told, and those of one message.
	maxHangUps = 512
	// maxQuarantineTold bounds the entries of one message.
	maxQuarantineTold = 64
)

// quarantines is this VM's part in keeping requests that end workers from them. VMs
// tell hang-ups to the first two VMs of the fleet in a rank that all agree on, as far as
// they see the same VMs. Those find out which request is the cause, and tell all others,
// hall by hall; the store keeps it for VMs that start. Without the store VMs still hear
// of it, and a VM that reaches no other one finds out by itself. It is safe for
// concurrent use.
type quarantines struct {
	table    *quarantine.Table
	detector *poison.Detector
	memory   *poison.History

	mu sync.Mutex
	// hangUps and answered are what is to be told.
	hangUps  []poison.HangUp
	answered []quarantine.Fingerprint
	// found are the entries that this VM made, until the store has them.
	found map[quarantine.Fingerprint]bool
	// save wakes the loop that saves them, wake the one that tells and finds.
	save, wake chan struct{}
	// compiled is the revision of the store's entries that were taken in.
	compiled uint64
}

func newQuarantines() *quarantines {
	table := quarantine.NewTable()
	return &quarantines{
		table: table, detector: poison.New(poison.Config{Known: table.Get, Now: clock.Now}), memory: poison.NewHistory(clock.Now),
		found: make(map[quarantine.Fingerprint]bool), save: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
}

// Find implements ingress.Quarantine.
func (q *quarantines) Find(target uint64, fingerprint func() quarantine.Fingerprint) (quarantine.Entry, bool) {
	return q.table.Find(target, fingerprint, clock.Now())
}

// HungUp implements ingress.Quarantine.
func (q *quarantines) HungUp(h poison.HangUp) {
	if !q.memory.RecordHangUp(h.Fingerprint) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.hangUps) < maxHangUps {
		q.hangUps = append(q.hangUps, h)
	}
	notify(q.wake)
}

// notify wakes whoever waits for a signal, now or next.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Answered implements ingress.Quarantine.
func (q *quarantines) Answered(f quarantine.Fingerprint) {
	if !q.memory.RecordAnswer(f) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.hangUps[:0]
	for _, h := range q.hangUps {
		if h.Fingerprint != f {
			waiting = append(waiting, h)
		}
	}
	q.hangUps = waiting
	if len(q.answered) < maxHangUps {
		q.answered = append(q.answered, f)
	}
	notify(q.wake)
}

// HangUps implements ingress.Quarantine.
func (q *quarantines) HangUps(f quarantine.Fingerprint) int { return q.memory.HangUps(f) }

// take returns what is to be told now.
func (q *quarantines) take(now time.Time) (due []poison.HangUp, answered []quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for n < len(q.hangUps) && now.Sub(q.hangUps[n].At) >= hangUpSettles {
		n++
	}
	due, q.hangUps = q.hangUps[:n:n], append([]poison.HangUp(nil), q.hangUps[n:]...)
	answered, q.answered = q.answered, nil
	return due, answered
}

// noteFound notes that this VM is to save an entry.
func (q *quarantines) noteFound(f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.found[f] = true
	notify(q.save)
}

// awaitSave waits until there is an entry to save, or for a while.
func (q *quarantines) awaitSave(ctx context.Context) {
	timer := time.NewTimer(saveLook)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-q.save:
	}
}

// idle reports whether there is nothing to tell or to find.
func (q *quarantines) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.hangUps)+len(q.answered) == 0 && q.detector.Idle()
}

// quarantineLoop tells hang-ups, and finds out what ends workers from those that this
// VM is told.
func (g *Gateway) quarantineLoop(ctx context.Context) {
	q := g.quarantines
	for ctx.Err() == nil {
		if q.idle() {
			select {
			case <-ctx.Done():
			case <-q.wake:
			}
		}
		sleep(ctx, quarantineLook)
		if due, answered := q.take(clock.Now()); len(due)+len(answered) > 0 {
			go g.tellHangUps(due, answered)
		}
		for _, e := range q.detector.Detect() {
			g.quarantineFound(e)
		}
	}
}

// tellHangUps tells hang-ups to the VMs that collect them. A VM that reaches none
// collects its own.
func (g *Gateway) tellHangUps(hangUps []poison.HangUp, answered []quarantine.Fingerprint) {
	ranked := g.candidates(clock.Now(), func(membership.Member) bool { return true }).ranked("quarantine")
	var told sync.WaitGroup
	reached := make([]bool, detectors)
	for first := range detectors {
		told.Go(func() {
			for at := first; at < min(len(ranked), detectorTries) && !reached[first]; at += detectors {
				reached[first] = g.tellHangUpsTo(ranked[at], hangUps, answered)
			}
		})
	}
	told.Wait()
	for _, ok := range reached {
		if ok {
			return
		}
	}
	g.log.Info("quarantine: no VM that collects hang-ups answers", "hang_ups", len(hangUps))
	g.collectHangUps(hangUps, answered)
}

func (g *Gateway) tellHangUpsTo(m membership.Member, hangUps []poison.HangUp, answered []quarantine.Fingerprint) bool {
	if m.ID == g.cfg.VM {
		g.collectHangUps(hangUps, answered)
		return true
	}
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_HangUps{HangUps: toHangUps(hangUps, answered, clock.Now())}}
	reply, err := g.callOfQuarantine(m, message)
	if err != nil {
		g.log.Info("quarantine: hang-ups not told", "peer", m.ID, "error", err.Error())
		return false
	}
	g.takeEntries(m.ID, reply.GetEntries())
	return true
}

// collectHangUps takes in hang-ups, and returns the entries of those requests that are held
// already.
func (g *Gateway) collectHangUps(hangUps []poison.HangUp, answered []quarantine.Fingerprint) []quarantine.Entry {
	q, now := g.quarantines, clock.Now()
	var known []quarantine.Entry
	for _, h := range hangUps {
		q.detector.Add(h)
		if e, ok := q.table.Get(h.Fingerprint); ok && e.Active(now) && len(known) < maxQuarantineTold {
			known = append(known, e)
		}
	}
	for _, f := range answered {
		q.detector.RecordAnswer(f)
	}
	notify(q.wake)
	return known
}

// quarantineFound holds a request that was found to end workers, and tells all VMs.
func (g *Gateway) quarantineFound(e quarantine.Entry) {
	if !g.quarantines.table.Hear(e) {
		return
	}
	g.quarantines.noteFound(e.Fingerprint)
	g.log.Info("quarantine: a request ends workers and is held", "fingerprint", e.Fingerprint.String(), "subject", e.Subject,
		"service", e.Service, "workers", e.Workers, "times", e.Times, "until", e.Until)
	g.cfg.Metrics.Quarantined(g.quarantines.table.Len())
	go g.tellQuarantine([]quarantine.Entry{e}, nil)
}

// tellQuarantine tells all VMs of entries, and of requests that may run again: those
// of its own hall itself, one of each other hall that passes it on. With 780 VMs in 21
// halls that is 57 calls, and none of the VMs makes more.
func (g *Gateway) tellQuarantine(entries []quarantine.Entry, released []quarantine.Fingerprint) {
	message := &peerpb.Quarantine{Entries: g.encodeEntries(entries)}
	for _, f := range released {
		message.Released = append(message.Released, f[:])
	}
	g.tellHall(message)
	message = &peerpb.Quarantine{Entries: message.GetEntries(), Released: message.GetReleased(), PassOn: true}
	for hall := range g.cfg.Halls {
		if hall != g.cfg.Hall {
			go g.tellOneOf(hall, message)
		}
	}
}

// tellHall tells the other VMs of this VM's hall.
func (g *Gateway) tellHall(message *peerpb.Quarantine) {
	message = &peerpb.Quarantine{Entries: message.GetEntries(), Released: message.GetReleased()}
	for _, m := range g.inHall(g.cfg.Hall) {
		go func() {
			for range quarantineTries {
				if g.tellOne(m, message) {
					return
				}
			}
		}()
	}
}

// tellOneOf tells one VM of a hall, the next one if it does not answer.
func (g *Gateway) tellOneOf(hall string, message *peerpb.Quarantine) {
	for _, m := range g.inHall(hall) {
		if g.tellOne(m, message) {
			return
		}
	}
}

// inHall returns the other VMs of a hall, in an order that differs from VM to VM: two
// VMs that find the same tell it to different ones.
func (g *Gateway) inHall(hall string) []membership.Member {
	c := g.candidates(clock.Now(), func(m membership.Member) bool { return m.Hall == hall })
	delete(c, g.cfg.VM)
	return c.ranked("quarantine/" + g.cfg.VM)
}

func (g *Gateway) tellOne(m membership.Member, message *peerpb.Quarantine) bool {
	_, err := g.callOfQuarantine(m, &peerpb.Envelope{Kind: &peerpb.Envelope_Quarantine{Quarantine: message}})
	if err != nil {
		g.log.Info("quarantine: a VM was not told", "peer", m.ID, "error", err.Error())
	}
	return err == nil
}

func (g *Gateway) callOfQuarantine(m membership.Member, message *peerpb.Envelope) (*peerpb.QuarantineTaken, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, message)
	g.cfg.Metrics.PeerCall("quarantine", err)
	return reply.GetQuarantineTaken(), err
}

// hearHangUps answers a VM that tells hang-ups.
func (g *Gateway) hearHangUps(from string, told *peerpb.HangUps) *peerpb.QuarantineTaken {
	hangUps, answered, err := fromHangUps(told, clock.Now())
	if err != nil {
		g.log.Info("quarantine: hang-ups that cannot be read", "peer", from, "error", err.Error())
	}
	return &peerpb.QuarantineTaken{Entries: g.encodeEntries(g.collectHangUps(hangUps, answered))}
}

// hearQuarantine takes in what another VM tells of the quarantine.
func (g *Gateway) hearQuarantine(from string, told *peerpb.Quarantine) *peerpb.QuarantineTaken {
	g.takeEntries(from, told.GetEntries())
	for _, raw := range told.GetReleased() {
		f, err := quarantine.FingerprintFromBytes(raw)
		if err != nil {
			g.log.Info("quarantine: a release that cannot be read", "peer", from, "error", err.Error())
			continue
		}
		g.forgetQuarantined(f)
	}
	if told.GetPassOn() {
		g.tellHall(told)
	}
	return &peerpb.QuarantineTaken{}
}

// takeEntries takes in entries that another VM has told.
func (g *Gateway) takeEntries(from string, entries [][]byte) {
	for _, raw := range entries[:min(len(entries), maxQuarantineTold)] {
		e, err := decodeEntry(raw, clock.Now())
		if err != nil {
			g.log.Info("quarantine: an entry that cannot be read", "peer", from, "error", err.Error())
			continue
		}
		if g.quarantines.table.Hear(e) {
			g.log.Info("quarantine: a request is held, as a peer tells", "fingerprint", e.Fingerprint.String(),
				"peer", from, "subject", e.Subject, "until", e.Until)
		}
	}
	g.cfg.Metrics.Quarantined(g.quarantines.table.Len())
}

func (g *Gateway) encodeEntries(entries []quarantine.Entry) [][]byte {
	encoded := make([][]byte, 0, len(entries))
	for _, e := range entries {
		raw, err := e.Encode()
		if err != nil {
			g.log.Error(err, "quarantine: entry not told", "fingerprint", e.Fingerprint.String())
			continue
		}
		encoded = append(encoded, raw)
	}
	return encoded
}

// ranked returns the candidates in the order in which all VMs that see the same ones
// choose them for an item.
func (c candidates) ranked(item string) []membership.Member {
	ranked := make([]membership.Member, 0, len(c))
	for _, id := range tree.Rank(item, c.vms()) {
		ranked = append(ranked, c[id])
	}
	return ranked
}
