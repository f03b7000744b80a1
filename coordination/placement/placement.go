// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package placement chooses the worker for each request.
//
// Requests with the same key go to one worker, the holder of the key, chosen by rendezvous
// hashing: a worker that has served a key recently is warm for it and answers much faster.
// If the holder is full and the next one is not nearly idle, the request is refused
// immediately, because spreading a key over more workers would make all of them slow (see
// docs/design/platform.md).
//
// A region that has less than its share of a service's slots sends a stable part of its
// keys to regions that have more. Operators' moves and caps take precedence: a move sends
// a stable part of the keys of one hall to other halls, and a cap limits both moves and
// the balancing between regions.
//
// Where requests of a service have different ranks, room beyond the slots is reserved for
// higher ranks (see package admission).
//
// The package does no I/O. Every VM decides independently from the same configuration.
//
// # Usage
//
//	placer := placement.New(placement.Config{Region: "north", Loads: loads, ColdLimiter: cold, Now: time.Now})
//	choice, refusal := placer.Place(snapshot, placement.Request{Service: "lookup", Key: 17, Keyed: true})
//	if refusal == placement.RefusalNone { defer choice.Load().End() }
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ryehill/ryehill/coordination/admission"
	"github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/state/worker"
)

// holderLimits are the load limits of the first and further holders of a key, as multiples
// of their slots. The first holder may queue, since a short wait costs less than a refusal
// or a cold answer elsewhere. The second one is used only when it is nearly idle. More
// holders would make all of them cold (see docs/design/platform.md).
var holderLimits = [...]float64{2, 1.0 / 3}

// displacedLimits replaces holderLimits for keys whose holder is resting or out of
// permits, for which the other workers are cold. The limits keep displaced keys from
// slowing down all workers in an overload.
var displacedLimits = [...]float64{1, 2.0 / 3, 2.0 / 3}

// maxDisplacedWait bounds the retry delay of a request whose holder is unavailable for
// longer, since the next holders of its key may have a free slot earlier.
const maxDisplacedWait = time.Second

// Refusal is the reason why no worker was chosen.
type Refusal string

// Reasons for refusals. RefusalNone means that a worker was chosen.
const (
	RefusalNone Refusal = ""
	// RefusalNoWorker means that no worker is eligible for the request.
	RefusalNoWorker Refusal = "no-worker"
	// RefusalBusy means that the holders of the key are full.
	RefusalBusy Refusal = "busy"
	// RefusalResting means that the holder of the key, or every eligible worker, has asked
	// for a rest and that the others are full. Choice.RetryAfter returns the remaining
	// time.
	RefusalResting Refusal = "resting"
	// RefusalCold means that only cold workers are left and that their rate is used up.
	RefusalCold Refusal = "cold"
	// RefusalLimited means that the permits of eligible rate-limited workers are used up
	// and that the other workers are full. Choice.RetryAfter returns when there may be new
	// permits.
	RefusalLimited Refusal = "limited"
)

// Snapshot is the state known to this VM at one moment. It is immutable.
type Snapshot struct {
	Routes  *route.Table
	Workers *worker.Set
	// RoutesMark and WorkersMark identify the states of the configuration and of the
	// workers' entries that the snapshot was built from.
	RoutesMark, WorkersMark object.Mark
	// Closed contains the halls that are closed. Their workers get no requests, except
	// within the deadlines in Closing.
	Closed map[string]bool
	// Closing contains the deadlines of the workers of closed halls.
	Closing map[string]worker.DrainWindow
	// HallColdUntil contains the time until which all workers of a hall are treated as cold,
	// regardless of their own entries.
	HallColdUntil map[string]time.Time
	// Regions contains all regions of the fleet, sorted by name.
	Regions []string
	// Traffic contains the operators' moves and caps. Nil means none.
	Traffic *view.View
	// Splitters contains the splitters of the rollouts in progress, by service. Workers marks
	// the versions accordingly, so that a request uses both of one snapshot.
	Splitters map[string]*rollout.Splitter
	// PinnedShares contains, by region, the fraction of all requests, from 0 to 1, that is
	// expected to be pinned to the region by the home regions of workspaces. Nil means
	// none.
	PinnedShares map[string]float64
}

// Request describes a request to place.
type Request struct {
	Service string
	// Key is a hash of the request's affinity key, if Keyed is set.
	Key   uint64
	Keyed bool
	// Allows reports whether the request may run in a region. Nil allows all regions.
	Allows func(region string) bool
	// Tried contains the ids of workers that the request was sent to before.
	Tried []string
	// Track selects the versions of the service that may serve the request. The zero value
	// is the version in use.
	Track worker.Track

	// Rank is the rank of the request among the Ranks of the requests that may go to the
	// service. 0 is served first. With less than two ranks no room is reserved.
	Rank, Ranks int
	// TimeLeft is the time until the end of the request's objective, 0 for none.
	TimeLeft time.Duration
	// Priority is the priority of permits. 0 is the most urgent.
	Priority int

	// reservation is the room that is reserved for higher ranks.
	reservation admission.Reservation
	// displaced is set if the holder of the key is resting or out of permits.
	displaced bool
	// spillover is set if the region that holds the key has no permit for the request.
	spillover bool
}

// admission returns the request as the admission controller sees it.
func (r Request) admission() admission.Request {
	return admission.Request{Service: r.Service, Rank: r.Rank, Ranks: r.Ranks, TimeLeft: r.TimeLeft}
}

// Choice is the result of a placement. The load of the chosen worker includes the request.
type Choice struct {
	worker         *worker.Worker
	load           *worker.Load
	remote         bool
	steeringReason string
	moved          bool
	considered     []Considered
	retryAfter     time.Duration
	skippedHolder  string
	// perSlot is the number of requests per slot of the chosen worker, 0 if it is cold.
	perSlot float64
}

// Considered is a worker that was considered, and why it was chosen or not.
type Considered struct {
	ID     string
	Hall   string
	Region string
	// Busy is the estimated number of requests at the worker, and MaxBusy the limit below
	// which it would have been chosen. Both are 0 for a cold worker.
	Busy, MaxBusy float64
	// Slots is the number of slots of the worker. Unreserved is MaxBusy without the room that
	// is reserved for rank ReservedFor or higher, or in which the request would not be
	// answered in time.
	Slots, Unreserved float64
	ReservedFor       int
	Cold              bool
	// Limited is set if no permit was available for the worker. PerSecond is the rate that it
	// takes from all VMs, in requests per second.
	Limited   bool
	PerSecond float64
}

// String returns a description for logs.
func (c Considered) String() string {
	if c.Cold {
		return c.ID + " in " + c.Region + ": cold, rate used up"
	}
	if c.Limited {
		return fmt.Sprintf("%s in %s: takes %.1f a second from all VMs, used up", c.ID, c.Region, c.PerSecond)
	}
	text := fmt.Sprintf("%s in %s: %.1f busy, room below %.1f", c.ID, c.Region, c.Busy, c.MaxBusy)
	switch {
	case c.MaxBusy >= c.Unreserved:
		return text
	case c.ReservedFor >= 0:
		return fmt.Sprintf("%s, up to %.1f reserved for rank %d or higher", text, c.Unreserved, c.ReservedFor)
	}
	return fmt.Sprintf("%s, up to %.1f too late for the objective", text, c.Unreserved)
}

// contended reports whether the worker is warm and has no free slot.
func (c Considered) contended() bool { return !c.Cold && c.Busy >= c.Slots }

// Worker returns the chosen worker, or the zero value if none was chosen.
func (c Choice) Worker() worker.Worker {
	if c.worker == nil {
		return worker.Worker{}
	}
	return *c.worker
}

// Load returns the load of the chosen worker. The caller must end it.
func (c Choice) Load() *worker.Load { return c.load }

// Considered returns the workers that were considered, best first, also if none was
// chosen.
func (c Choice) Considered() []Considered { return c.considered }

// SteeringReason explains why the request runs outside its home or why a cap keeps it there. It
// is empty if neither applies.
func (c Choice) SteeringReason() string { return c.steeringReason }

// RetryAfter returns the time after which a worker may accept the request, if it was refused
// because of a resting or rate-limited worker or if requests of its service have different
// ranks, and 0 otherwise.
func (c Choice) RetryAfter() time.Duration { return c.retryAfter }

// SkippedHolder describes the worker that would hold the request's key, if it was skipped
// because it is resting or shutting down. Otherwise it is empty.
func (c Choice) SkippedHolder() string { return c.skippedHolder }

// Moved reports whether a move or the balancing between regions sent the request out of
// the hall that would hold its key at home.
func (c Choice) Moved() bool { return c.moved }

// Remote reports whether the worker is in another region.
func (c Choice) Remote() bool { return c.remote }

// Config configures a Placer. All fields are required except Holders, Demand, Confirmed,
// Permits and Admission.
type Config struct {
	// Hall and Region are those of this VM.
	Hall, Region string
	Loads        *worker.Loads
	ColdLimiter  *ColdLimiter
	// Steerer counts requests against the operators' moves and caps.
	Steerer *steer.Steerer
	Now     func() time.Time
	// Holders maps keys to workers. Nil assigns all keys by hashing.
	Holders *holders.Table
	// Demand counts keyed requests by service and key. Nil disables counting.
	Demand *demand.Meter
	// Confirmed returns when the store last confirmed the workers' entries of a snapshot.
	// Nil means that they are always current.
	Confirmed func(*Snapshot) time.Time
	// Permits issues permits for rate-limited workers. Nil disables rate limits.
	Permits Permits
	// Admission reserves room for higher ranks. Nil means a new controller.
	Admission *admission.Controller
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
		cfg.Confirmed = func(*Snapshot) time.Time { return cfg.Now() }
	}
	if cfg.Permits == nil {
		cfg.Permits = unlimitedPermits{}
	}
	if cfg.Admission == nil {
		cfg.Admission = admission.New(admission.Config{Now: cfg.Now})
	}
	return &Placer{cfg: cfg}
}

// Place chooses a worker for a request and adds the request to its load, or returns the
// reason for a refusal.
func (p *Placer) Place(s *Snapshot, r Request) (Choice, Refusal) {
	if !r.Keyed {
		r.Key = rand.Uint64()
	}
	workers := p.eligibleWorkers(s, r)
	if len(workers.available) == 0 {
		return p.refuseNoneAvailable(workers)
	}
	dest := p.chooseDestination(s, r, workers.availableOrResting())
	p.countDemand(r)
	holder, resting := p.restingHolder(r, workers, dest.region)
	r.displaced = resting
	r.reservation = p.cfg.Admission.Reserve(r.admission())
	choice, refusal := p.chooseAvailable(s, r, workers, dest)
	p.countContention(r, choice)
	if resting && refusal == RefusalBusy {
		choice, refusal = p.refuseResting(holder, workers.now, choice.considered)
		choice.retryAfter = min(choice.retryAfter, maxDisplacedWait)
		return choice, refusal
	}
	choice.skippedHolder = p.skippedHolder(r, workers, choice)
	return choice, refusal
}

// chooseAvailable chooses an available worker. The destination of a key does not depend on
// resting workers, since their rests are short and differ between VMs.
func (p *Placer) chooseAvailable(s *Snapshot, r Request, workers eligible, dest destination) (Choice, Refusal) {
	choice, refusal := p.chooseAtDestination(s, r, workers.available, dest)
	if refusal == RefusalNone {
		return choice, refusal
	}
	if refusal == RefusalLimited {
		return p.chooseOtherRegion(s, r, workers, dest, choice)
	}
	if len(workers.resting) > 0 && refusal != RefusalCold {
		// Too few workers are available there for the keys of the resting ones.
		if others := outsideRegion(workers.available, dest.region); len(others) > 0 {
			return p.chooseAtDestination(s, r, others, p.balancedDestination(assignRegion(p.cfg.Region, s, others, r)))
		}
	}
	if refusal != RefusalCold {
		return choice, refusal
	}
	// All workers of the region are cold, for example after a closed hall has reopened.
	// Workers elsewhere that held its keys in the meantime are warm.
	warm := slices.DeleteFunc(workers.available, func(w *worker.Worker) bool { return p.IsCold(s, w) })
	if len(warm) == 0 {
		return choice, RefusalCold
	}
	return p.chooseAtDestination(s, r, warm, p.balancedDestination(assignRegion(p.cfg.Region, s, warm, r)))
}

// chooseOtherRegion tries the other regions one by one for a request that was denied a
// permit in the region that holds its key.
func (p *Placer) chooseOtherRegion(s *Snapshot, r Request, workers eligible, dest destination, denied Choice) (Choice, Refusal) {
	r.displaced, r.spillover = true, true
	others := outsideRegion(workers.available, dest.region)
	for range s.Regions {
		if len(others) == 0 {
			break
		}
		dest = p.balancedDestination(assignRegion(p.cfg.Region, s, others, r))
		choice, refusal := p.chooseAtDestination(s, r, others, dest)
		if refusal == RefusalNone {
			return choice, refusal
		}
		denied.considered = append(denied.considered, choice.considered...)
		others = outsideRegion(others, dest.region)
	}
	denied.retryAfter = min(denied.retryAfter, maxDisplacedWait)
	return denied, RefusalLimited
}

// countDemand counts the demand for a key, once per request.
func (p *Placer) countDemand(r Request) {
	if r.Keyed && len(r.Tried) == 0 {
		p.cfg.Demand.CountRequest(demand.Key{Service: r.Service, Region: p.cfg.Region, Hash: r.Key})
	}
}

// countContention counts the demand of the request's rank, once per request.
func (p *Placer) countContention(r Request, c Choice) {
	if len(r.Tried) == 0 {
		p.cfg.Admission.CountRequest(r.admission(), len(c.considered) > 0 && c.considered[0].contended())
	}
}

// RecordRunTime records the time in which the chosen worker answered a request.
func (p *Placer) RecordRunTime(r Request, c Choice, took time.Duration) {
	if c.perSlot > 0 {
		p.cfg.Admission.RecordRunTime(r.admission(), took, c.perSlot)
	}
}

// IsCold reports whether a worker is treated as cold.
func (p *Placer) IsCold(s *Snapshot, w *worker.Worker) bool {
	now := p.cfg.Now()
	if now.Before(w.ColdUntil) || now.Before(s.HallColdUntil[w.Hall]) {
		return true
	}
	load, constrained := p.cfg.Loads.Constrained()[w.Incarnation()]
	if !constrained {
		return false
	}
	confirmed := p.cfg.Confirmed(s)
	if !w.Confirmed.IsZero() {
		confirmed = w.Confirmed
	}
	service, _ := s.Routes.Service(w.Service)
	return service.ColdRate > 0 && (load.IsCold() || load.MayBeCold(confirmed, service.ColdStart))
}

// choose chooses the first holder of the key in a region if it has capacity, or else the
// second one if it is nearly idle. Cold workers hold no keys yet and get requests within
// their cold rate, and rate-limited ones as far as there are permits.
func (p *Placer) choose(s *Snapshot, r Request, workers []*worker.Worker, region string) (Choice, Refusal) {
	ranking := p.rankWorkers(r, workers, region)
	p.preferSuccessors(s, r, ranking)
	search := p.newSearch(s, r)
	for !search.done() {
		w, ok := ranking.next()
		if !ok {
			break
		}
		if search.tryAdmit(w, region) {
			return p.beginRequest(w, search.considered), RefusalNone
		}
	}
	return Choice{considered: search.considered, retryAfter: search.earliestRetry()}, search.refusal()
}

// HasCapacity reports whether any warm worker without a rate limit in the VM's region that may
// get the request has a free slot, whether or not it holds the key.
func (p *Placer) HasCapacity(s *Snapshot, r Request) bool {
	return slices.ContainsFunc(p.eligibleWorkers(s, r).available, func(w *worker.Worker) bool {
		_, limited := p.cfg.Loads.RateLimit(w)
		return w.Region == p.cfg.Region && !limited && !p.IsCold(s, w) && p.cfg.Loads.GetOrCreate(w.Incarnation()).Busy() < float64(w.Slots)
	})
}

func (p *Placer) beginRequest(w *worker.Worker, considered []Considered) Choice {
	load := p.cfg.Loads.GetOrCreate(w.Incarnation())
	load.Begin()
	choice := Choice{worker: w, load: load, remote: w.Region != p.cfg.Region, considered: considered}
	if last := considered[len(considered)-1]; !last.Cold && last.Slots > 0 {
		choice.perSlot = (last.Busy + 1) / last.Slots
	}
	return choice
}

// mix is a hash finalizer, which lets every input bit affect all output bits.
func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
