// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// regionDecay is the time in which counted demand decays to 1/e.
	regionDecay = 8 * time.Second
	// regionFull is what a worker may have under way, as a multiple of its slots, and
	// regionIdle what the second holder of a key may.
	regionFull = 2
	regionIdle = 1.0 / 3
	// regionPressed is the part of a worker's slots in use above which it loses a key.
	regionPressed = 0.75
	// regionTimeout is when a request is given up that was sent to a region out of reach,
	// and regionNoticed how long VMs send such requests.
	regionTimeout = time.Second
	regionNoticed = time.Second
)

// regionParts is what is decided: the part of its keys that each region keeps, and the
// weights by which the others are sent to regions.
type regionParts struct{ kept, surplus [regionCount]float64 }

// regionModel plays the requests of three regions for the keys of one service.
type regionModel struct {
	load   regionLoad
	way    regionWay
	length time.Duration
	random *rand.Rand
	now    time.Time
	events restEvents

	workers []*regionWorker
	keys    [regionCount][]*regionKey
	// equal is for equal demand, decided what the deciding VM wants, and followed what VMs
	// follow.
	equal, decided, followed regionParts
	counted                  [regionCount]float64
	measured                 [regionCount]float64

	tallies   [regionCount]regionTally
	mostMoved float64
	firstRuns int
}

// regionKey is a key that callers of one region use.
type regionKey struct {
	id               uint64
	home             int
	position, target float64
	// rate is the request rate seen, in requests per second; holders are the workers that were
	// chosen instead of those by hashing, by region.
	rate    float64
	count   int
	holders [regionCount]*regionWorker
	// ranked are the workers of each region by hashing, the best first.
	ranked [regionCount][]*regionWorker
	// before is where the key first ran in the window before, and first in this one.
	before, first int
	ran, moved    int
}

type regionWorker struct {
	id     uint64
	region int
	half   int
	busy   int
	queue  []func()
	// warm holds the keys of finished runs, the latest last.
	warm []uint64
	// rate is the request rate of its keys.
	rate float64
}

type regionRequest struct {
	key   *regionKey
	first time.Time
	again bool
}

func newRegionModel(load regionLoad, way regionWay, seed uint64) *regionModel {
	m := &regionModel{load: load, way: way, random: rand.New(rand.NewPCG(seed, regionCount)), now: time.Unix(0, 0)}
	for r := range regionCount {
		n := int(math.Round(way.capacity[r] * regionWorkers))
		for i := range n {
			m.workers = append(m.workers, &regionWorker{id: m.random.Uint64(), region: r, half: i % 2})
		}
		for range regionKeys / regionCount {
			k := &regionKey{id: m.random.Uint64(), home: r, position: m.random.Float64(), target: m.random.Float64(), before: -1, first: -1}
			m.keys[r] = append(m.keys[r], k)
		}
	}
	for _, keys := range m.keys {
		for _, k := range keys {
			k.rank(m.workers)
		}
	}
	m.length = cmp.Or(load.length, regionLength)
	m.equal = m.equalParts()
	m.decided, m.followed = m.equal, m.equal
	return m
}

// rank orders the workers of each region by hashing.
func (k *regionKey) rank(workers []*regionWorker) {
	sorted := slices.SortedFunc(slices.Values(workers), func(a, b *regionWorker) int {
		return cmp.Compare(mixHash(k.id^b.id), mixHash(k.id^a.id))
	})
	for _, w := range sorted {
		k.ranked[w.region] = append(k.ranked[w.region], w)
	}
}

func (m *regionModel) at() time.Duration { return m.now.Sub(time.Unix(0, 0)) }

func (m *regionModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, restEvent{m.now.Add(d), do})
}

func (m *regionModel) run() {
	for r := range regionCount {
		m.arrive(r)
	}
	m.every(regionDecision, m.decide)
	m.every(regionWindow, m.closeWindow)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(restEvent)
		m.now = e.at
		e.do()
	}
}

func (m *regionModel) every(interval time.Duration, do func()) {
	m.after(interval, func() {
		if m.at() >= m.length {
			return
		}
		do()
		m.every(interval, do)
	})
}

// arrive lets the next request of a region arrive, and all that follow it.
func (m *regionModel) arrive(region int) {
	if m.at() >= m.length {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/m.load.rate(region, m.at())*float64(time.Second)), func() {
		key := m.keys[region][m.random.IntN(len(m.keys[region]))]
		m.tallies[region].asked++
		m.counted[region]++
		key.count++
		m.place(&regionRequest{key: key, first: m.now})
		m.arrive(region)
	})
}

// usable reports whether a worker may get requests.
func (m *regionModel) usable(w *regionWorker) bool {
	return !m.load.closed || !m.load.troubled(m.at()) || w.region != regionA || w.half == 0
}

// reachable reports whether requests of a region reach another one.
func (m *regionModel) reachable(from, to int) bool {
	return !m.load.cut || !m.load.troubled(m.at()) || (from == regionA) == (to == regionA)
}

// slots returns the slots of the usable workers and the measured demand of all regions.
func (m *regionModel) slots() (slots [regionCount]float64, total, demand float64) {
	for _, w := range m.workers {
		if m.usable(w) {
			slots[w.region] += regionSlots
			total += regionSlots
		}
	}
	for _, rate := range m.measured {
		demand += rate
	}
	return slots, total, max(demand, 1)
}

// equalParts returns the parts if each region has the same demand, times a factor.
func (m *regionModel) equalParts() regionParts {
	slots, total, _ := m.slots()
	p, times := regionParts{}, cmp.Or(m.way.times, 1)
	for r := range regionCount {
		p.kept[r] = min(1, times*slots[r]/(total/regionCount))
		p.surplus[r] = max(0, slots[r]-total/regionCount)
	}
	return p
}

// region returns the region that holds a key.
func (m *regionModel) region(key *regionKey) int {
	p := m.followed
	if key.position < p.kept[key.home] {
		return key.home
	}
	sum := 0.0
	for r, n := range p.surplus {
		if r != key.home && m.reachableKnown(key.home, r) {
			sum += n
		}
	}
	if sum == 0 {
		return key.home
	}
	chosen, position := key.home, key.target
	for r, n := range p.surplus {
		if r == key.home || n == 0 || !m.reachableKnown(key.home, r) {
			continue
		}
		chosen = r
		if position -= n / sum; position < 0 {
			break
		}
	}
	return chosen
}

// reachableKnown reports whether VMs take a region for reachable.
func (m *regionModel) reachableKnown(from, to int) bool {
	return m.reachable(from, to) || m.at() < regionFrom+regionNoticed
}

// decide measures the demand and changes the parts and the holders of keys.
func (m *regionModel) decide() {
	decay := math.Exp(-regionDecision.Seconds() / regionDecay.Seconds())
	counting := max(m.at().Seconds(), 1)
	correct := 1 / (regionDecay.Seconds() * (1 - math.Exp(-counting/regionDecay.Seconds())))
	for r := range regionCount {
		m.measured[r] = m.counted[r] * correct
		m.counted[r] *= decay
	}
	m.equal = m.equalParts()
	want := m.equal
	if m.way.decide != nil && m.at() >= regionWindow {
		m.way.decide(m, &want)
		want = m.bounded(want)
	}
	if m.load.lost && m.at() == regionLost {
		m.decided, want = m.equal, m.equal
		m.followed = want
	}
	m.decided = want
	m.after(regionNews, func() { m.followed = want })
	m.relieve(decay, correct)
}

// bounded bounds the change of the parts at one decision. Weights are scaled to a sum of 1.
func (m *regionModel) bounded(want regionParts) regionParts {
	toward := func(from, to float64) float64 { return from + max(-m.way.step, min(m.way.step, to-from)) }
	from, to := scaled(m.decided.surplus), scaled(want.surplus)
	for r := range regionCount {
		want.kept[r] = toward(m.decided.kept[r], want.kept[r])
		want.surplus[r] = toward(from[r], to[r])
	}
	return want
}

func scaled(weights [regionCount]float64) [regionCount]float64 {
	sum := 0.0
	for _, n := range weights {
		sum += n
	}
	if sum == 0 {
		return [regionCount]float64{1.0 / regionCount, 1.0 / regionCount, 1.0 / regionCount}
	}
	for r := range weights {
		weights[r] /= sum
	}
	return weights
}

// relieve moves a key from each pressed worker to the idlest one of its region.
func (m *regionModel) relieve(decay, correct float64) {
	held := make(map[*regionWorker][]*regionKey)
	for _, w := range m.workers {
		w.rate = 0
	}
	for _, keys := range m.keys {
		for _, k := range keys {
			k.rate = k.rate*decay + float64(k.count)
			k.count = 0
			if w := m.holder(k, m.region(k)); w != nil {
				w.rate += k.rate * correct
				held[w] = append(held[w], k)
			}
		}
	}
	use := func(rate float64) float64 { return rate * regionWarm.Seconds() / regionSlots }
	for _, w := range m.workers {
		if use(w.rate) <= regionPressed || len(held[w]) < 2 || m.at() < regionDecay {
			continue
		}
		var idlest *regionWorker
		for _, other := range m.workers {
			if other.region == w.region && other != w && m.usable(other) && (idlest == nil || other.rate < idlest.rate) {
				idlest = other
			}
		}
		k := slices.MaxFunc(held[w], func(a, b *regionKey) int { return int(1000 * (a.rate - b.rate)) })
		rate := k.rate * correct
		if idlest == nil || use(idlest.rate+rate) > regionPressed {
			continue
		}
		k.holders[w.region] = idlest
		w.rate, idlest.rate = w.rate-rate, idlest.rate+rate
	}
}

// holder returns the worker that holds a key in a region: the chosen one, or that by hashing.
func (m *regionModel) holder(key *regionKey, region int) *regionWorker {
	if w := key.holders[region]; w != nil && m.usable(w) {
		return w
	}
	first, _ := m.hashed(key, region)
	return first
}

// hashed returns the first two usable workers of a region for a key.
func (m *regionModel) hashed(key *regionKey, region int) (first, second *regionWorker) {
	for _, w := range key.ranked[region] {
		switch {
		case !m.usable(w):
		case first == nil:
			first = w
		default:
			return first, w
		}
	}
	return first, nil
}

// mixHash lets every bit affect all others.
func mixHash(h uint64) uint64 {
	const multiplier = 0xd6e8feb86659fd93
	h ^= h >> 32
	h *= multiplier
	h ^= h >> 32
	h *= multiplier
	return h ^ h>>32
}

// place sends a request to the holder of its key or the next one, or refuses it.
func (m *regionModel) place(r *regionRequest) {
	region := m.region(r.key)
	if !m.reachable(r.key.home, region) {
		m.after(regionTimeout, func() { m.refuse(r) })
		return
	}
	first, second := m.hashed(r.key, region)
	if chosen := m.holder(r.key, region); chosen != first {
		first, second = chosen, first
	}
	switch {
	case first != nil && first.busy+len(first.queue) < regionFull*regionSlots:
		m.send(r, first)
	case second != nil && float64(second.busy+len(second.queue)) < regionIdle*regionSlots:
		m.send(r, second)
	default:
		m.refuse(r)
	}
}

// refuse lets the client come back once, if it can still be in time.
func (m *regionModel) refuse(r *regionRequest) {
	if r.again || m.now.Sub(r.first) > regionObjective {
		m.tallies[r.key.home].refused++
		return
	}
	r.again = true
	m.after(regionReturn, func() { m.place(r) })
}

// send begins the request at a worker or queues it there.
func (m *regionModel) send(r *regionRequest, w *regionWorker) {
	k, t := r.key, &m.tallies[r.key.home]
	if k.first < 0 {
		k.first = w.region
	}
	k.ran++
	if k.before >= 0 && k.before != w.region {
		k.moved++
	}
	way := regionNear
	if w.region == k.home {
		t.near++
	} else {
		way += regionFar
	}
	begin := func() { m.begin(r, w, way) }
	if w.busy >= regionSlots {
		w.queue = append(w.queue, begin)
		return
	}
	w.busy++
	begin()
}

// begin runs a request at a worker that has a slot for it.
func (m *regionModel) begin(r *regionRequest, w *regionWorker, way time.Duration) {
	mean := regionWarm
	if !slices.Contains(w.warm, r.key.id) {
		mean = regionCold
		m.firstRuns++
	}
	took := time.Duration(float64(mean) * (1 + regionSpread*m.random.NormFloat64()))
	m.after(max(took, 0), func() {
		w.warm = append(slices.DeleteFunc(w.warm, func(id uint64) bool { return id == r.key.id }), r.key.id)
		if len(w.warm) > regionWarmKeys {
			w.warm = w.warm[1:]
		}
		m.tallies[r.key.home].answer(m.now.Sub(r.first) + way)
		if len(w.queue) == 0 {
			w.busy--
			return
		}
		next := w.queue[0]
		w.queue = w.queue[1:]
		next()
	})
}

// closeWindow counts the requests whose key ran in another region than in the window before.
func (m *regionModel) closeWindow() {
	for _, keys := range m.keys {
		ran, moved := 0, 0
		for _, k := range keys {
			ran, moved = ran+k.ran, moved+k.moved
			if k.first >= 0 {
				k.before, k.first = k.first, -1
			}
			k.ran, k.moved = 0, 0
		}
		m.mostMoved = max(m.mostMoved, float64(moved)/float64(max(ran, 1)))
	}
}
