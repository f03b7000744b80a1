// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package placement decides which worker gets a request.
//
// Requests with one key go to one worker, found by rendezvous hashing, since a
// worker that has seen a key lately answers much faster. If that has no room and
// the next one is not nearly idle, the request is refused at once, for a spread
// over more workers would make every worker slow (docs/design/platform.md has
// the figures). A region that holds
// less than its share of a service's slots gives a stable part of the keys to
// those that hold more. Operators' moves and caps go before both: a move sends a
// stable part of the keys of one hall to others, and a cap bounds the moves and
// the giving together.
//
// The package does no I/O and sends nothing; every VM decides alone, from the
// same configuration.
//
// # Usage
//
//	placer := placement.New(placement.Config{Region: "north", Loads: loads, Cold: cold, Now: time.Now})
//	choice, refusal := placer.Place(snapshot, placement.Request{Service: "lookup", Key: 17, Keyed: true})
//	if refusal == placement.RefusalNone { defer choice.Load().End() }
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/state/worker"
)

// holderRoom is how many requests each holder of a key may have at most before
// it gets one more, in parts of its slots. The first holder may queue: a short
// wait costs less than a refusal, and far less than a cold answer elsewhere. The
// second one is for keys whose first holder is slow or pressed, and helps only
// where it is nearly idle. Every further holder made all of them cold (figures
// in docs/design/platform.md).
var holderRoom = [...]float64{2, 1.0 / 3}

// restRoom is the same for the keys of a worker that rests, which others are cold for. In
// an overload of 1.3, in which all workers ask for rest in turn, 40 in 100 requests were lost
// while these keys went wherever holderRoom allows, for that made every worker slow; 21 since,
// as many as if no rest were heard. With a third of the workers at half speed, which leaves
// room for all, 0.3 in 100 are lost, 0.04 before and 2.6 if none were heard, and with one
// worker that asks all VMs for rest 0.1 (ryehill-load experiment rests, 12 VMs).
var restRoom = [...]float64{1, 2.0 / 3, 2.0 / 3}

// displacedWait bounds after what time a request may come back whose worker rests for
// longer: the next holders of its key may have a free slot by then.
const displacedWait = time.Second

// Refusal says why no worker was found.
type Refusal string

// Refusals. RefusalNone is none.
const (
	RefusalNone Refusal = ""
	// RefusalNoWorker means that no worker may get the request at all.
	RefusalNoWorker Refusal = "no-worker"
	// RefusalBusy means that the workers which hold its key have no room.
	RefusalBusy Refusal = "busy"
	// RefusalResting means that the worker which holds the request's key, or every one that
	// may get it, wants nothing for now, and that the others have no room; Choice.Wait says
	// for how long.
	RefusalResting Refusal = "resting"
	// RefusalCold means that only cold workers are left and their rate is
	// used up.
	RefusalCold Refusal = "cold"
	// RefusalLimited means that workers which may get the request take a limited rate from
	// all VMs that is used up, and that the others have no room; Choice.Wait says when there
	// is more.
	RefusalLimited Refusal = "limited"
)

// Snapshot is what is believed at one moment. It is never changed once made.
type Snapshot struct {
	Routes  *route.Table
	Workers *worker.Set
	// Closed are the halls whose workers must get nothing, but until Closing says
	// so.
	Closed map[string]bool
	// Closing is how long the workers of closed halls have left.
	Closing map[string]worker.Ending
	// WarmAt is until when the workers of a hall are taken as cold, whatever
	// their own entries say.
	WarmAt map[string]time.Time
	// Regions are all regions of the fleet, in order of their names.
	Regions []string
	// Traffic holds the operators' moves and caps. Nil is none.
	Traffic *view.View
	// Bound is the part of all requests, from 0 to 1, that is expected to be bound to a
	// region by the homes of workspaces. Nil is none.
	Bound map[string]float64
}

// Request is what a placement rests on.
type Request struct {
	Service string
	// Key is a hash of the request's affinity key, if Keyed is set.
	Key   uint64
	Keyed bool
	// Allows reports whether the request may run in a region. Nil is all.
	Allows func(region string) bool
	// Tried are the ids of workers that the request was sent to before.
	Tried []string
	// Track says which versions of the service may get it. The zero value is the one in
	// use.
	Track worker.Track

	// Priority is that of the request's route, 0 being the most urgent.
	Priority int

	// displaced is set if the worker that holds the key rests.
	displaced bool
	// elsewhere is set if the region that holds the key has no permit for it.
	elsewhere bool
}

// Choice is a worker that was chosen. Its load has been counted.
type Choice struct {
	worker     *worker.Worker
	load       *worker.Load
	remote     bool
	steered    string
	moved      bool
	considered []Considered
	wait       time.Duration
	passedOver string
}

// Considered is a worker that was looked at, and why it was or was not taken.
type Considered struct {
	ID     string
	Hall   string
	Region string
	// Busy is how many requests it was thought to hold, Room below how many it
	// would have been taken. Both are 0 for a cold worker.
	Busy, Room float64
	Cold       bool
	// Limited is set if there was no permit for it, and PerS is the rate in requests a
	// second that it takes from all VMs.
	Limited bool
	PerS    float64
}

// String describes the worker for a log.
func (c Considered) String() string {
	if c.Cold {
		return c.ID + " in " + c.Region + ": cold, rate used up"
	}
	if c.Limited {
		return fmt.Sprintf("%s in %s: takes %.1f a second from all VMs, used up", c.ID, c.Region, c.PerS)
	}
	return fmt.Sprintf("%s in %s: %.1f busy, room below %.1f", c.ID, c.Region, c.Busy, c.Room)
}

// Worker returns the chosen worker, the zero one if none was chosen.
func (c Choice) Worker() worker.Worker {
	if c.worker == nil {
		return worker.Worker{}
	}
	return *c.worker
}

// Load returns the worker's load, which the caller ends.
func (c Choice) Load() *worker.Load { return c.load }

// Considered returns the workers that were looked at, best first, also if none
// was taken.
func (c Choice) Considered() []Considered { return c.considered }

// Steered says why the request runs elsewhere than at home, or why a cap keeps
// it there; it is empty for one that nothing steered.
func (c Choice) Steered() string { return c.steered }

// Wait returns after what time a worker may get the request, if it was refused since one
// rests or takes a limited rate, and else 0.
func (c Choice) Wait() time.Duration { return c.wait }

// PassedOver describes the worker that would hold the request's key, if it gets nothing
// for what it has said of itself; else it is empty.
func (c Choice) PassedOver() string { return c.passedOver }

// Moved reports whether a move or the balance between regions took the request
// away from the hall that would hold its key at home.
func (c Choice) Moved() bool { return c.moved }

// Remote reports whether the worker is in another region.
func (c Choice) Remote() bool { return c.remote }

// Config sets up a Placer. All fields are required but Holders,
// Demand, Confirmed and Permits.
type Config struct {
	// Hall and Region are those of this VM.
	Hall, Region string
	Loads        *worker.Loads
	Cold         *Cold
	// Steerer counts requests against the operators' moves and caps.
	Steerer *steer.Steerer
	Now     func() time.Time
	// Holders says which worker holds a key. Nil leaves all to hashing.
	Holders *holders.Table
	// Demand counts what callers ask for. Nil counts nothing.
	Demand *demand.Meter
	// Confirmed returns when the store last confirmed what is known of workers. Nil is
	// always just now.
	Confirmed func() time.Time
	// Permits hands out requests to workers that name a limit. Nil bounds none.
	Permits Permits
}

// Placer chooses workers. It is safe for concurrent use.
type Placer struct{ cfg Config }

// New returns a placer.
func New(cfg Config) *Placer {
	if cfg.Holders == nil {
		cfg.Holders = holders.NewTable()
	}
	if cfg.Demand == nil {
		cfg.Demand = demand.NewMeter(cfg.Region)
	}
	if cfg.Confirmed == nil {
		cfg.Confirmed = cfg.Now
	}
	if cfg.Permits == nil {
		cfg.Permits = unbounded{}
	}
	return &Placer{cfg: cfg}
}

// Place chooses a worker for a request and counts it, or says why there is
// none.
func (p *Placer) Place(s *Snapshot, r Request) (Choice, Refusal) {
	if !r.Keyed {
		r.Key = rand.Uint64()
	}
	workers := p.eligible(s, r)
	if len(workers.awake) == 0 {
		return p.noneAwake(workers)
	}
	to := p.destination(s, r, workers.all())
	p.count(r)
	holder, rests := p.restingHolder(r, workers, to.region)
	r.displaced = rests
	choice, refusal := p.chooseAwake(s, r, workers, to)
	if rests && refusal == RefusalBusy {
		choice, refusal = p.refuseResting(holder, workers.now, choice.considered)
		choice.wait = min(choice.wait, displacedWait)
		return choice, refusal
	}
	choice.passedOver = p.passedOver(r, workers, choice)
	return choice, refusal
}

// chooseAwake chooses a worker among those that do not rest. Where a key belongs does not
// depend on rests: they are short, and each VM has others.
func (p *Placer) chooseAwake(s *Snapshot, r Request, workers eligible, to destination) (Choice, Refusal) {
	choice, refusal := p.chooseAt(s, r, workers.awake, to)
	if refusal == RefusalNone {
		return choice, refusal
	}
	if refusal == RefusalLimited {
		return p.chooseElsewhere(s, r, workers, to, choice)
	}
	if len(workers.resting) > 0 && refusal != RefusalCold {
		// Too few are awake there for the keys of those that rest.
		if others := outside(workers.awake, to.region); len(others) > 0 {
			return p.chooseAt(s, r, others, p.placed(shareOut(p.cfg.Region, s, others, r)))
		}
	}
	if refusal != RefusalCold {
		return choice, refusal
	}
	// Its own region is cold, say after a closed hall opened again: those that
	// have held its keys meanwhile are warm.
	warm := slices.DeleteFunc(workers.awake, func(w *worker.Worker) bool { return p.Cold(s, w) })
	if len(warm) == 0 {
		return choice, RefusalCold
	}
	return p.chooseAt(s, r, warm, p.placed(shareOut(p.cfg.Region, s, warm, r)))
}

// chooseElsewhere chooses a worker of other regions, one after the other, for a request that
// was denied a permit where its key belongs.
func (p *Placer) chooseElsewhere(s *Snapshot, r Request, workers eligible, to destination, denied Choice) (Choice, Refusal) {
	r.displaced, r.elsewhere = true, true
	others := outside(workers.awake, to.region)
	for range s.Regions {
		if len(others) == 0 {
			break
		}
		to = p.placed(shareOut(p.cfg.Region, s, others, r))
		choice, refusal := p.chooseAt(s, r, others, to)
		if refusal == RefusalNone {
			return choice, refusal
		}
		denied.considered = append(denied.considered, choice.considered...)
		others = outside(others, to.region)
	}
	denied.wait = min(denied.wait, displacedWait)
	return denied, RefusalLimited
}

// count counts what a caller asks for, once for each request.
func (p *Placer) count(r Request) {
	if r.Keyed && len(r.Tried) == 0 {
		p.cfg.Demand.Keyed(demand.Key{Service: r.Service, Region: p.cfg.Region, Hash: r.Key})
	}
}

// Cold reports whether a worker is taken as cold.
func (p *Placer) Cold(s *Snapshot, w *worker.Worker) bool {
	now := p.cfg.Now()
	if now.Before(w.ColdUntil) || now.Before(s.WarmAt[w.Hall]) {
		return true
	}
	load, limited := p.cfg.Loads.Limited()[w.Life()]
	if !limited {
		return false
	}
	confirmed := p.cfg.Confirmed()
	if !w.Confirmed.IsZero() {
		confirmed = w.Confirmed
	}
	service, _ := s.Routes.Service(w.Service)
	return service.ColdRate > 0 && load.MayBeCold(confirmed, service.ColdStart)
}

// choose takes the first holder of the key in a region while that has room, then
// the second one if it is nearly idle. Cold workers hold no key yet; they get
// what their rate allows, and those that name a limit what there are permits for.
func (p *Placer) choose(s *Snapshot, r Request, workers []*worker.Worker, region string) (Choice, Refusal) {
	ranking := p.ranked(r, workers, region)
	p.handOver(s, r, ranking)
	search := p.newSearch(s, r)
	for !search.over() {
		w, ok := ranking.next()
		if !ok {
			break
		}
		if search.admits(w, region) {
			return p.take(w, search.considered), RefusalNone
		}
	}
	return Choice{considered: search.considered, wait: search.wait}, search.refusal()
}

// Room reports whether any warm worker in the VM's region that may get the
// request has a free slot and no limit, whether it holds the request's key or not.
func (p *Placer) Room(s *Snapshot, r Request) bool {
	return slices.ContainsFunc(p.eligible(s, r).awake, func(w *worker.Worker) bool {
		_, limited := p.cfg.Loads.RateLimit(w)
		return w.Region == p.cfg.Region && !limited && !p.Cold(s, w) && p.cfg.Loads.Of(w.Life()).Busy() < float64(w.Slots)
	})
}

func (p *Placer) take(w *worker.Worker, considered []Considered) Choice {
	load := p.cfg.Loads.Of(w.Life())
	load.Begin()
	return Choice{worker: w, load: load, remote: w.Region != p.cfg.Region, considered: considered}
}

// mix spreads the bits of a number over all others.
func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
