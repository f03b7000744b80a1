// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ryehill/ryehill/state/rollout"
)

const (
	// alarmThreshold is the log-likelihood ratio above which a version counts as bad. The
	// scores never fall below 0; with a version as good as the old one, a score passes the
	// threshold less than once in e^alarmThreshold (1.2 million) responses.
	alarmThreshold = 14.0
	// toleranceFactor times the old version's rate of failed or slow responses, plus
	// failureTolerance or slowTolerance, is the rate that a new version may have.
	toleranceFactor  = 1.5
	failureTolerance = 0.005
	slowTolerance    = 0.05
	// priorFailures and priorResponses are added to the old version's counts, so that
	// little data does not count as a rate near zero.
	priorFailures, priorResponses = 1.0, 20.0
	// minRate and maxRate bound the compared rates.
	minRate, maxRate = 1e-4, 0.9
	// clearThreshold is the log-likelihood ratio below which an increase of a rate counts as
	// ruled out: a version with that increase passes once in e^clearThreshold (33) times.
	clearThreshold = 3.5
	// clearIncrease is the smallest increase that is ruled out; smaller ones take too many
	// responses.
	clearIncrease = 0.3
	// conclusiveResponses is the number of checked responses after which the alarm would
	// have found an increase of clearIncrease.
	conclusiveResponses = 80
	// minOutlierWorkers is the number of canaries from which on the worst outlierFraction
	// of them is excluded: a few unhealthy workers do not make a bad version.
	minOutlierWorkers = 3
	outlierFraction   = 0.25
	// minResponses is the minimum number of responses to rate a worker.
	minResponses = 4
	// maxRoutes bounds the routes analyzed one by one, those with the most responses
	// first.
	maxRoutes = 16
)

// failureIncreases and slowIncreases are the assumed increases of the rate in a bad version.
// Each has its own score, so that small and large increases are both detected early.
var (
	failureIncreases = [...]float64{0.04, 0.15, 0.4}
	slowIncreases    = [...]float64{0.12, 0.3, 0.6}
)

// allRoutes is the key of the totals over all routes.
const allRoutes = ""

// Analyzer detects whether a new version is worse than the old one, from the responses of
// both in the same period. It keeps cumulative sums of log-likelihood ratios (Page's
// CUSUM test) per route and over all routes, so that a version that turns bad late is
// detected as fast as one that is bad from the start.
//
// The first run of a key at a worker is slow with any version, and delays the requests of
// that key that arrive meanwhile. Slowness on a route is therefore ignored until its
// popular keys have run, and after that as many slow responses are ignored as new keys
// explain.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Analyzer struct {
	counted map[rollout.TallyKey]rollout.Tally
	routes  map[string]*routeScores
	// baseline holds the recent tallies of the old version by route, and baselineSeen
	// the totals already added to them.
	baseline     map[string]*decayingTally
	baselineSeen map[string]rollout.Tally
	// keys estimates the distinct keys counted so far. coldBudget is the number of slow
	// responses that their first runs may still explain.
	keys, coldBudget float64
	timing           Timing
}

// Timing describes the latency of a service, as far as it is known.
type Timing struct {
	// Settle is the time until the popular keys of a route have run.
	Settle time.Duration
	// Overlap is the average number of requests of a key during its first run.
	Overlap float64
}

// routeScores holds the CUSUM scores of one route.
type routeScores struct {
	// since is when the first response arrived, or the canary keys last grew.
	since  time.Time
	failed [len(failureIncreases)]float64
	slow   [len(slowIncreases)]float64
	// checked is the number of responses that could raise the alarm for slowness. failedSum
	// and slowSum are the ratios for clearIncrease of failed and of very slow responses,
	// without the lower bound of a score.
	checked, failedSum, slowSum float64
}

// baselineDecay is the time constant of the old version's tallies: the new version is
// compared with the old one's current behavior, not with calmer periods before.
const baselineDecay = 4 * time.Second

// decayingTally is a tally with exponential decay.
type decayingTally struct {
	ended, failed, slow, verySlow float64
	at                            time.Time
}

// add decays the tally to the given time and adds t.
func (d *decayingTally) add(now time.Time, t rollout.Tally) {
	decay := math.Exp(-now.Sub(d.at).Seconds() / baselineDecay.Seconds())
	d.ended, d.failed, d.slow = d.ended*decay+float64(t.Ended), d.failed*decay+float64(t.Failed), d.slow*decay+float64(t.Slow)
	d.verySlow = d.verySlow*decay + float64(t.VerySlow)
	d.at = now
}

// tally returns the rounded-down counts.
func (d *decayingTally) tally() rollout.Tally {
	return rollout.Tally{Ended: uint32(d.ended), Failed: uint32(d.failed), Slow: uint32(d.slow)}
}

// updateBaseline adds the new responses of the old version, by route.
func (a *Analyzer) updateBaseline(now time.Time, r *rollout.Report) {
	sum := rollout.Tally{}
	for route, t := range r.Old {
		delta := t.Delta(a.baselineSeen[route])
		a.baselineSeen[route] = t
		sum.Add(delta)
		a.updateRouteBaseline(now, route, delta)
	}
	a.updateRouteBaseline(now, allRoutes, sum)
}

func (a *Analyzer) updateRouteBaseline(now time.Time, route string, delta rollout.Tally) {
	if a.baseline[route] == nil {
		a.baseline[route] = &decayingTally{at: now}
	}
	a.baseline[route].add(now, delta)
}

// Finding explains why a version is bad.
type Finding struct {
	// Route is the affected route, "" for all routes together.
	Route string
	// Slow is set for slow responses, and unset for failures.
	Slow bool
	// New is the new version's total on the route, Old the old version's recent tally.
	New, Old rollout.Tally
}

// Add evaluates the cumulative report of the VMs, and returns a finding if the new version
// is bad.
func (a *Analyzer) Add(now time.Time, r *rollout.Report) (Finding, bool) {
	if a.counted == nil {
		a.counted, a.routes = make(map[rollout.TallyKey]rollout.Tally), make(map[string]*routeScores)
		a.baseline, a.baselineSeen = make(map[string]*decayingTally), make(map[string]rollout.Tally)
	}
	a.updateBaseline(now, r)
	deltas := a.takeDeltas(r)
	coldRuns := a.takeColdRuns(r, deltas[allRoutes])
	for _, route := range analyzedRoutes(deltas) {
		old := a.baseline[route]
		if old == nil {
			old = &decayingTally{}
		}
		scores, ok := a.routes[route]
		if !ok {
			scores = &routeScores{since: now}
			a.routes[route] = scores
		}
		explained := coldRuns * slowRatio(deltas[route], deltas[allRoutes])
		if now.Sub(scores.since) < a.timing.Settle {
			explained = float64(deltas[route].Slow)
		} else {
			scores.checked += max(float64(deltas[route].canary)-explained, 0)
		}
		scores.addForClearing(deltas[route], old)
		if slow, bad := scores.add(deltas[route], old, explained); bad {
			all := r.NewByRoute()
			all[allRoutes] = total(all)
			return Finding{Route: route, Slow: slow, New: all[route], Old: old.tally()}, true
		}
	}
	return Finding{}, false
}

// Cleared reports whether the responses rule out that the version fails or is slow much more
// often than the old one. The given number of slow requests in flight, which are counted
// already, tell nothing yet. Silence of the alarm does not: few responses raise none.
func (a *Analyzer) Cleared(undecided int) bool {
	scores := a.routes[allRoutes]
	if scores == nil {
		return false
	}
	slow, failed := a.clearingRatios(undecided)
	return scores.checked >= conclusiveResponses || slow <= -clearThreshold && failed <= -clearThreshold
}

// clearingRatios returns the log-likelihood ratios that have to fall to -clearThreshold for a
// version to be cleared: that it is slow, and that it fails, by clearIncrease more often.
func (a *Analyzer) clearingRatios(undecided int) (slow, failed float64) {
	scores, old := a.routes[allRoutes], a.baseline[allRoutes]
	if scores == nil || old == nil {
		return 0, 0
	}
	counted := likelihoodRatio(float64(undecided), 0, toleratedRate(old.verySlow, old.ended, slowTolerance), clearIncrease)
	return scores.slowSum - counted, scores.failedSum
}

// routeDelta holds the responses of the new version on a route since the last call.
type routeDelta struct {
	rollout.Tally
	// canary counts the responses of canary workers, the only ones that are checked for
	// slowness.
	canary uint32
}

// takeDeltas returns the responses since the last call by route, without those of outlier
// workers.
func (a *Analyzer) takeDeltas(r *rollout.Report) map[string]routeDelta {
	excluded := outliersByRoute(r)
	deltas := make(map[string]routeDelta)
	for key, t := range r.New {
		delta := t.Delta(a.counted[key])
		a.counted[key] = t
		if delta.Ended == 0 && delta.VerySlow == 0 {
			continue
		}
		for _, route := range []string{key.Route, allRoutes} {
			if excluded[rollout.TallyKey{Route: route, Worker: key.Worker}] {
				continue
			}
			sum := deltas[route]
			sum.Add(delta)
			if key.Worker != "" {
				sum.canary += delta.Ended
			}
			deltas[route] = sum
		}
	}
	return deltas
}

// SetTiming sets the latency of the service. Before, no slow response is attributed to the
// first run of a key.
func (a *Analyzer) SetTiming(timing Timing) { a.timing = timing }

// Resettle ignores slow responses on a route until its new canary keys have run.
func (a *Analyzer) Resettle(route string, now time.Time) {
	if scores, ok := a.routes[route]; ok {
		scores.since = now
	}
}

// takeColdRuns estimates how many slow responses in delta were caused by first runs of keys,
// and deducts them from the budget.
func (a *Analyzer) takeColdRuns(r *rollout.Report, delta routeDelta) float64 {
	keys := r.Keys.Count()
	a.coldBudget += (1 + a.timing.Overlap) * max(keys-a.keys, 0)
	a.keys = max(keys, a.keys)
	cold := min(a.coldBudget, float64(delta.Slow))
	a.coldBudget -= cold
	return cold
}

// outliersByRoute returns the canary workers that do worse than the others on a route or
// overall, and so may be unhealthy themselves.
func outliersByRoute(r *rollout.Report) map[rollout.TallyKey]bool {
	byRoute := make(map[string]map[string]rollout.Tally)
	for key, t := range r.New {
		if key.Worker == "" {
			continue
		}
		for _, route := range []string{key.Route, allRoutes} {
			if byRoute[route] == nil {
				byRoute[route] = make(map[string]rollout.Tally)
			}
			sum := byRoute[route][key.Worker]
			sum.Add(t)
			byRoute[route][key.Worker] = sum
		}
	}
	excluded := make(map[rollout.TallyKey]bool)
	for route, workers := range byRoute {
		for _, id := range outliers(workers) {
			excluded[rollout.TallyKey{Route: route, Worker: id}] = true
		}
	}
	return excluded
}

// outliers returns the worst workers, or none if too few have enough responses.
func outliers(workers map[string]rollout.Tally) []string {
	maps.DeleteFunc(workers, func(_ string, t rollout.Tally) bool { return t.Ended < minResponses })
	if len(workers) < minOutlierWorkers {
		return nil
	}
	ids := slices.Collect(maps.Keys(workers))
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(badRate(workers[b]), badRate(workers[a])), cmp.Compare(a, b))
	})
	return ids[:int(math.Ceil(outlierFraction*float64(len(ids))))]
}

func badRate(t rollout.Tally) float64 { return float64(t.Failed+t.Slow) / float64(t.Ended) }

// analyzedRoutes returns the routes to analyze, those with the most responses first.
func analyzedRoutes(deltas map[string]routeDelta) []string {
	routes := slices.Collect(maps.Keys(deltas))
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(cmp.Compare(deltas[b].Ended, deltas[a].Ended), cmp.Compare(b, a))
	})
	return routes[:min(len(routes), maxRoutes+1)]
}

func total(tallies map[string]rollout.Tally) rollout.Tally {
	var sum rollout.Tally
	for _, t := range tallies {
		sum.Add(t)
	}
	return sum
}

func slowRatio(part, all routeDelta) float64 {
	return float64(part.Slow) / max(float64(all.Slow), 1)
}

// add updates the scores of a route, excluding slow responses explained by first runs. It
// reports whether the version is bad, and whether because it is slow.
func (s *routeScores) add(delta routeDelta, old *decayingTally, coldRuns float64) (slow, bad bool) {
	ended, failed := float64(delta.Ended), float64(delta.Failed)
	tolerated := toleratedRate(old.failed, old.ended, failureTolerance)
	for i, increase := range failureIncreases {
		if s.failed[i] = updateScore(s.failed[i], ended, failed, tolerated, increase); s.failed[i] > alarmThreshold {
			return false, true
		}
	}
	ended = max(float64(delta.canary)-coldRuns, 0)
	slowed := min(max(float64(delta.Slow)-coldRuns, 0), ended)
	tolerated = toleratedRate(old.slow, old.ended, slowTolerance)
	for i, increase := range slowIncreases {
		if s.slow[i] = updateScore(s.slow[i], ended, slowed, tolerated, increase); s.slow[i] > alarmThreshold {
			return true, true
		}
	}
	return false, false
}

// addForClearing adds responses to the sums that clear a version. Slow responses that the
// first runs of keys explain do not count. A very slow one may have been added as slow before.
func (s *routeScores) addForClearing(delta routeDelta, old *decayingTally) {
	s.slowSum += likelihoodRatio(float64(delta.canary), float64(delta.VerySlow), toleratedRate(old.verySlow, old.ended, slowTolerance), clearIncrease)
	s.failedSum += likelihoodRatio(float64(delta.Ended), float64(delta.Failed), toleratedRate(old.failed, old.ended, failureTolerance), clearIncrease)
}

// toleratedRate returns the rate of bad responses that still counts as no worse than the
// old version.
func toleratedRate(bad, ended, margin float64) float64 {
	return min(max(toleranceFactor*(bad+priorFailures)/(ended+priorResponses)+margin, minRate), maxRate)
}

// updateScore adds the log-likelihood ratio of the responses to a score.
func updateScore(score, ended, bad, tolerated, increase float64) float64 {
	return max(0, score+likelihoodRatio(ended, bad, tolerated, increase))
}

// likelihoodRatio returns the log-likelihood ratio of responses for a rate that is increased
// over the tolerated one against the tolerated rate.
func likelihoodRatio(ended, bad, tolerated, increase float64) float64 {
	degraded := min(tolerated+increase, (1+tolerated)/2)
	return bad*math.Log(degraded/tolerated) + (ended-bad)*math.Log((1-degraded)/(1-tolerated))
}
