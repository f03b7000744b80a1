// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/coordination/tree"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// quarantinePollInterval is the time between two checks for hang-ups to report or to
	// analyze.
	quarantinePollInterval = 50 * time.Millisecond
	// hangUpReportDelay is how long a hang-up is held back: if a retry of the request is
	// answered in that time, nothing is reported.
	hangUpReportDelay = 150 * time.Millisecond
	// detectorCount is the number of VMs of the fleet that collect hang-ups, so that one
	// may fail; maxDetectorAttempts is how many VMs are tried for these roles.
	detectorCount, maxDetectorAttempts = 2, 6
	// quarantineAttempts is the number of attempts to send an entry to a VM. Together
	// with probeTimeout they reach a VM that stalls for two seconds.
	quarantineAttempts = 3
	// maxHangUps bounds the hang-ups waiting to be reported, and those in one message.
	maxHangUps = 512
	// maxMessageEntries bounds the entries in one message.
	maxMessageEntries = 64
)

// quarantines is this VM's part in quarantining requests that crash workers. VMs report
// hang-ups to the first two VMs of a ranking that is the same at all VMs with the same
// view of the fleet. Those two detect which request is the cause and broadcast it, hall
// by hall; the store keeps it for VMs that start later. Entries still spread while the
// store is unavailable, and a VM that reaches no other one runs detection on its own
// hang-ups. It is safe for concurrent use.
type quarantines struct {
	table    *quarantine.Table
	detector *poison.Detector
	history  *poison.History

	mu sync.Mutex
	// hangUps and answered wait to be reported.
	hangUps  []poison.HangUp
	answered []quarantine.Fingerprint
	// detected holds the entries made by this VM, which has to store them, with the version
	// of the stored entries that it knew then.
	detected map[quarantine.Fingerprint]object.Version
	// save wakes the loop that stores entries, wake the one that reports and detects.
	save, wake chan struct{}
	// compiled is the generation of the stored entries last applied.
	compiled uint64
	// verifiedUntil returns the time up to which hang-ups may be reported.
	verifiedUntil func() time.Time
}

func newQuarantines(verifiedUntil func() time.Time) *quarantines {
	table := quarantine.NewTable()
	return &quarantines{
		table: table, detector: poison.New(poison.Config{Known: table.Get, Now: clock.Now}), history: poison.NewHistory(clock.Now),
		verifiedUntil: verifiedUntil, detected: make(map[quarantine.Fingerprint]object.Version), save: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
}

// Find implements ingress.Quarantine.
func (q *quarantines) Find(target uint64, fingerprint func() quarantine.Fingerprint) (quarantine.Entry, bool) {
	return q.table.Find(target, fingerprint, clock.Now())
}

// HungUp implements ingress.Quarantine.
func (q *quarantines) HungUp(h poison.HangUp) {
	if !q.history.RecordHangUp(h.Fingerprint) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.hangUps) < maxHangUps {
		q.hangUps = append(q.hangUps, h)
	}
	notify(q.wake)
}

// HungUpAtProxy implements ingress.Quarantine.
func (q *quarantines) HungUpAtProxy(f quarantine.Fingerprint) { q.history.RecordHangUp(f) }

// voidHangUps discards the hang-ups since a time that were not reported yet, since this VM
// had lost its path to the workers.
func (q *quarantines) voidHangUps(since time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hangUps = slices.DeleteFunc(q.hangUps, func(h poison.HangUp) bool {
		void := !h.At.Before(since)
		if void {
			q.history.RetractHangUp(h.Fingerprint)
		}
		return void
	})
}

// notify sends a signal without blocking; a signal that is already pending suffices.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Answered implements ingress.Quarantine.
func (q *quarantines) Answered(f quarantine.Fingerprint) {
	if !q.history.RecordAnswer(f) {
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
func (q *quarantines) HangUps(f quarantine.Fingerprint) int { return q.history.HangUps(f) }

// takeDue removes and returns the hang-ups and answers that are due to be reported.
func (q *quarantines) takeDue(now time.Time) (due []poison.HangUp, answered []quarantine.Fingerprint) {
	verified := q.verifiedUntil()
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for n < len(q.hangUps) && now.Sub(q.hangUps[n].At) >= hangUpReportDelay && q.hangUps[n].At.Before(verified) {
		n++
	}
	due, q.hangUps = q.hangUps[:n:n], append([]poison.HangUp(nil), q.hangUps[n:]...)
	answered, q.answered = q.answered, nil
	return due, answered
}

// unstored returns the active entries that the store may lack, at most as many as fit into
// a message.
func (q *quarantines) unstored(now time.Time) []quarantine.Entry {
	entries := slices.DeleteFunc(q.table.Unstored(), func(e quarantine.Entry) bool { return !e.Active(now) })
	return entries[:min(len(entries), maxMessageEntries)]
}

// recordDetected marks an entry as one that this VM has to store, given the version of the
// stored entries that it knows.
func (q *quarantines) recordDetected(f quarantine.Fingerprint, known object.Version) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.detected[f] = known
	notify(q.save)
}

// awaitSave waits until there is an entry to store, or for savePollInterval.
func (q *quarantines) awaitSave(ctx context.Context) {
	timer := time.NewTimer(savePollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-q.save:
	}
}

// idle reports whether there is nothing to report or to detect.
func (q *quarantines) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.hangUps)+len(q.answered) == 0 && q.detector.Idle()
}

// quarantineLoop reports hang-ups and detects, from those reported to this VM, which
// requests crash workers.
func (g *Gateway) quarantineLoop(ctx context.Context) {
	q := g.quarantines
	for ctx.Err() == nil {
		if q.idle() {
			select {
			case <-ctx.Done():
			case <-q.wake:
			}
		}
		sleep(ctx, quarantinePollInterval)
		if due, answered := q.takeDue(clock.Now()); len(due)+len(answered) > 0 {
			go g.reportHangUps(due, answered)
		}
		for _, e := range q.detector.Detect() {
			g.quarantineRequest(e)
		}
	}
}

// reportHangUps reports hang-ups to the VMs that collect them. If none can be reached,
// this VM collects its own.
func (g *Gateway) reportHangUps(hangUps []poison.HangUp, answered []quarantine.Fingerprint) {
	ranked := g.candidates(clock.Now(), func(membership.Member) bool { return true }).ranked("quarantine")
	var wg sync.WaitGroup
	reached := make([]bool, detectorCount)
	for first := range detectorCount {
		wg.Go(func() {
			for at := first; at < min(len(ranked), maxDetectorAttempts) && !reached[first]; at += detectorCount {
				reached[first] = g.reportHangUpsTo(ranked[at], hangUps, answered)
			}
		})
	}
	wg.Wait()
	for _, ok := range reached {
		if ok {
			return
		}
	}
	g.log.Info("quarantine: no detector VM reachable, hang-ups collected locally", "hang_ups", len(hangUps))
	g.collectHangUps(hangUps, answered)
}

func (g *Gateway) reportHangUpsTo(m membership.Member, hangUps []poison.HangUp, answered []quarantine.Fingerprint) bool {
	if m.ID == g.cfg.VM {
		g.collectHangUps(hangUps, answered)
		return true
	}
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_HangUps{HangUps: toHangUps(hangUps, answered, clock.Now())}}
	reply, err := g.callQuarantine(m, message)
	if err != nil {
		g.log.Info("quarantine: hang-ups not delivered", "peer", m.ID, "error", err.Error())
		return false
	}
	g.applyEntries(m.ID, reply.GetEntries())
	return true
}

// collectHangUps adds reported hang-ups to the detector and returns the active entries of
// their requests.
func (g *Gateway) collectHangUps(hangUps []poison.HangUp, answered []quarantine.Fingerprint) []quarantine.Entry {
	q, now := g.quarantines, clock.Now()
	var quarantined []quarantine.Entry
	for _, h := range hangUps {
		q.detector.Add(h)
		if e, ok := q.table.Get(h.Fingerprint); ok && e.Active(now) && len(quarantined) < maxMessageEntries {
			quarantined = append(quarantined, e)
		}
	}
	for _, f := range answered {
		q.detector.RecordAnswer(f)
	}
	notify(q.wake)
	return quarantined
}

// quarantineRequest quarantines a request that was found to crash workers and informs all
// VMs.
func (g *Gateway) quarantineRequest(e quarantine.Entry) {
	if !g.quarantines.table.Merge(e) {
		return
	}
	known, _ := g.replica.CompleteUpTo(g.cfg.Codec.QuarantineKind())
	g.quarantines.recordDetected(e.Fingerprint, known)
	g.log.Info("quarantine: request that crashes workers quarantined", "fingerprint", e.Fingerprint.String(), "subject", e.Subject,
		"service", e.Service, "workers", e.Workers, "times", e.Times, "until", e.Until)
	g.cfg.Metrics.Quarantined(g.quarantines.table.Len())
	go g.broadcastQuarantine([]quarantine.Entry{e}, nil)
}

// broadcastQuarantine sends entries and releases to all VMs: directly to those of its own
// hall, and to one VM of each other hall, which forwards them there.
func (g *Gateway) broadcastQuarantine(entries []quarantine.Entry, released []quarantine.Fingerprint) {
	message := &peerpb.Quarantine{Entries: g.encodeEntries(entries)}
	for _, f := range released {
		message.Released = append(message.Released, f[:])
	}
	g.sendToHall(message)
	message = &peerpb.Quarantine{Entries: message.GetEntries(), Released: message.GetReleased(), PassOn: true}
	for hall := range g.cfg.Halls {
		if hall != g.cfg.Hall {
			go g.sendToAnyInHall(hall, message)
		}
	}
}

// sendToHall sends a message to the other VMs of this VM's hall.
func (g *Gateway) sendToHall(message *peerpb.Quarantine) {
	message = &peerpb.Quarantine{Entries: message.GetEntries(), Released: message.GetReleased()}
	for _, m := range g.hallPeers(g.cfg.Hall) {
		go func() {
			for range quarantineAttempts {
				if g.sendQuarantine(m, message) {
					return
				}
			}
		}()
	}
}

// sendToAnyInHall sends a message to one VM of a hall, trying the next one on failure.
func (g *Gateway) sendToAnyInHall(hall string, message *peerpb.Quarantine) {
	for _, m := range g.hallPeers(hall) {
		if g.sendQuarantine(m, message) {
			return
		}
	}
}

// hallPeers returns the other VMs of a hall. The order differs between VMs, so that VMs
// which detect the same request contact different peers.
func (g *Gateway) hallPeers(hall string) []membership.Member {
	c := g.candidates(clock.Now(), func(m membership.Member) bool { return m.Hall == hall })
	delete(c, g.cfg.VM)
	return c.ranked("quarantine/" + g.cfg.VM)
}

func (g *Gateway) sendQuarantine(m membership.Member, message *peerpb.Quarantine) bool {
	_, err := g.callQuarantine(m, &peerpb.Envelope{Kind: &peerpb.Envelope_Quarantine{Quarantine: message}})
	if err != nil {
		g.log.Info("quarantine: message not delivered", "peer", m.ID, "error", err.Error())
	}
	return err == nil
}

func (g *Gateway) callQuarantine(m membership.Member, message *peerpb.Envelope) (*peerpb.QuarantineTaken, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, message)
	g.cfg.Metrics.PeerCall("quarantine", err)
	return reply.GetQuarantineTaken(), err
}

// handleHangUps handles a report of hang-ups from another VM.
func (g *Gateway) handleHangUps(from string, message *peerpb.HangUps) *peerpb.QuarantineTaken {
	hangUps, answered, err := fromHangUps(message, clock.Now())
	if err != nil {
		g.log.Info("quarantine: invalid hang-ups received", "peer", from, "error", err.Error())
	}
	return &peerpb.QuarantineTaken{Entries: g.encodeEntries(g.collectHangUps(hangUps, answered))}
}

// handleQuarantine applies entries and releases sent by another VM.
func (g *Gateway) handleQuarantine(from string, message *peerpb.Quarantine) *peerpb.QuarantineTaken {
	g.applyEntries(from, message.GetEntries())
	for _, raw := range message.GetReleased() {
		f, err := quarantine.FingerprintFromBytes(raw)
		if err != nil {
			g.log.Info("quarantine: invalid release received", "peer", from, "error", err.Error())
			continue
		}
		g.removeQuarantined(f)
	}
	if message.GetPassOn() {
		g.sendToHall(message)
	}
	return &peerpb.QuarantineTaken{}
}

// applyEntries applies entries sent by another VM.
func (g *Gateway) applyEntries(from string, entries [][]byte) {
	for _, raw := range entries[:min(len(entries), maxMessageEntries)] {
		e, err := decodeEntry(raw, clock.Now())
		if err != nil {
			g.log.Info("quarantine: invalid entry received", "peer", from, "error", err.Error())
			continue
		}
		if g.quarantines.table.Merge(e) {
			g.log.Info("quarantine: request quarantined by a peer", "fingerprint", e.Fingerprint.String(),
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
			g.log.Error(err, "quarantine: encode entry", "fingerprint", e.Fingerprint.String())
			continue
		}
		encoded = append(encoded, raw)
	}
	return encoded
}

// ranked returns the candidates in their rank order for an item, which is the same at all
// VMs with the same candidates.
func (c candidates) ranked(item string) []membership.Member {
	ranked := make([]membership.Member, 0, len(c))
	for _, id := range tree.Rank(item, c.vms()) {
		ranked = append(ranked, c[id])
	}
	return ranked
}
