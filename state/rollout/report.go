// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

// Tally counts finished requests.
type Tally struct {
	Ended  uint32 `json:"ended"`
	Failed uint32 `json:"failed"`
	// Slow counts the requests that took longer than the old version's slow threshold.
	Slow uint32 `json:"slow"`
	// VerySlow counts those of the slow requests that took longer than the first run of a
	// key does.
	VerySlow uint32 `json:"very_slow"`
	// LogMillis is the sum of the logarithms of the latencies in milliseconds.
	LogMillis float64 `json:"-"`
	// Millis and MillisSquared are the sums of the latencies in milliseconds and of their
	// squares.
	Millis        float64 `json:"-"`
	MillisSquared float64 `json:"-"`
}

// Add adds another tally.
func (t *Tally) Add(other Tally) {
	t.Ended += other.Ended
	t.Failed += other.Failed
	t.Slow += other.Slow
	t.VerySlow += other.VerySlow
	t.LogMillis += other.LogMillis
	t.Millis += other.Millis
	t.MillisSquared += other.MillisSquared
}

// Delta returns the increase over an earlier tally. Counts drop when VMs leave and
// take theirs with them; a drop counts as no increase.
func (t Tally) Delta(earlier Tally) Tally {
	delta := Tally{}
	if t.Ended > earlier.Ended {
		delta.Ended = t.Ended - earlier.Ended
	}
	if t.Failed > earlier.Failed {
		delta.Failed = min(t.Failed-earlier.Failed, delta.Ended)
	}
	if t.Slow > earlier.Slow {
		delta.Slow = min(t.Slow-earlier.Slow, delta.Ended)
	}
	if t.VerySlow > earlier.VerySlow {
		delta.VerySlow = t.VerySlow - earlier.VerySlow
	}
	return delta
}

// TallyKey is what responses of a new version are counted by.
type TallyKey struct {
	Route string
	// Worker identifies the incarnation of a canary worker, "" for all other workers.
	Worker string
}

// Report is what one or several VMs have observed of a rollout since it began there.
// The zero value covers no VM; NewReport returns one that reports can be merged into.
type Report struct {
	// VMs counts the VMs by phase.
	VMs [phaseCount]int
	// Old and New count the finished requests of each version, Old by route.
	Old map[string]Tally
	New map[TallyKey]Tally
	// InFlightOld and InFlightNew count the requests in flight at workers of each version.
	InFlightOld, InFlightNew int
	// Requests counts the requests for the service since the VMs know the order, with those
	// that tell nothing of a version.
	Requests int
	// Undecided counts the canary requests in flight that are slow, and not very slow yet.
	Undecided int
	// Keys estimates the distinct keys of the requests in New.
	Keys Sketch
}

// NewReport returns an empty report.
func NewReport() Report {
	return Report{Old: make(map[string]Tally), New: make(map[TallyKey]Tally)}
}

// Merge adds the report of other VMs.
func (r *Report) Merge(other Report) {
	for phase, n := range other.VMs {
		r.VMs[phase] += n
	}
	for route, t := range other.Old {
		sum := r.Old[route]
		sum.Add(t)
		r.Old[route] = sum
	}
	for key, t := range other.New {
		sum := r.New[key]
		sum.Add(t)
		r.New[key] = sum
	}
	r.InFlightOld += other.InFlightOld
	r.InFlightNew += other.InFlightNew
	r.Undecided += other.Undecided
	r.Requests += other.Requests
	r.Keys.Merge(other.Keys)
}

// VMsAtLeast returns the number of VMs in phase p or a later one.
func (r *Report) VMsAtLeast(p Phase) int {
	n := 0
	for _, vms := range r.VMs[p:] {
		n += vms
	}
	return n
}

// MaxPhase returns the latest phase of any VM.
func (r *Report) MaxPhase() Phase {
	for p := phaseCount - 1; p > 0; p-- {
		if r.VMs[p] > 0 {
			return Phase(p)
		}
	}
	return PhaseOrdered
}

// NewByRoute returns the tallies of the new version, summed by route.
func (r *Report) NewByRoute() map[string]Tally {
	sums := make(map[string]Tally)
	for key, t := range r.New {
		sum := sums[key.Route]
		sum.Add(t)
		sums[key.Route] = sum
	}
	return sums
}
