// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

// Tally counts the requests of one kind that have ended at workers.
type Tally struct {
	Ended  uint32 `json:"ended"`
	Failed uint32 `json:"failed"`
	// Slow is how many took several times as long as the old version does.
	Slow uint32 `json:"slow"`
	// LogMillis sums the logarithms of the times that they took, in milliseconds.
	LogMillis float64 `json:"-"`
}

// Add adds another tally.
func (t *Tally) Add(other Tally) {
	t.Ended += other.Ended
	t.Failed += other.Failed
	t.Slow += other.Slow
	t.LogMillis += other.LogMillis
}

// Since returns what came after an earlier state of the tally. VMs that have gone take
// what they counted with them, so a count may be lower than it was; that is no news.
func (t Tally) Since(earlier Tally) Tally {
	news := Tally{}
	if t.Ended > earlier.Ended {
		news.Ended = t.Ended - earlier.Ended
	}
	if t.Failed > earlier.Failed {
		news.Failed = min(t.Failed-earlier.Failed, news.Ended)
	}
	if t.Slow > earlier.Slow {
		news.Slow = min(t.Slow-earlier.Slow, news.Ended)
	}
	return news
}

// Subject is what the answers of a new version are counted by.
type Subject struct {
	Route string
	// Worker is the life of a worker of the trial, "" for all others together.
	Worker string
}

// Report is what VMs have seen of a roll-out since they heard of it. The zero value is
// of no VM; NewReport returns one that can be added to.
type Report struct {
	// VMs counts the VMs by the phase that they are in.
	VMs [phases]int
	// Old and New are the requests that ended at workers of either version.
	Old map[string]Tally
	New map[Subject]Tally
	// UnderWayOld and UnderWayNew are the requests that workers of either version have.
	UnderWayOld, UnderWayNew int
	// Keys are the keys of the requests that New counts.
	Keys Sketch
}

// NewReport returns a report of no VM.
func NewReport() Report {
	return Report{Old: make(map[string]Tally), New: make(map[Subject]Tally)}
}

// Join adds the report of other VMs.
func (r *Report) Join(other Report) {
	for phase, n := range other.VMs {
		r.VMs[phase] += n
	}
	for route, t := range other.Old {
		sum := r.Old[route]
		sum.Add(t)
		r.Old[route] = sum
	}
	for subject, t := range other.New {
		sum := r.New[subject]
		sum.Add(t)
		r.New[subject] = sum
	}
	r.UnderWayOld += other.UnderWayOld
	r.UnderWayNew += other.UnderWayNew
	r.Keys.Join(other.Keys)
}

// InPhase returns how many VMs are in a phase or beyond it.
func (r *Report) InPhase(p Phase) int {
	n := 0
	for _, vms := range r.VMs[p:] {
		n += vms
	}
	return n
}

// Furthest returns the greatest phase that any VM is in.
func (r *Report) Furthest() Phase {
	for p := phases - 1; p > 0; p-- {
		if r.VMs[p] > 0 {
			return Phase(p)
		}
	}
	return PhaseOrdered
}

// Sum adds up the tallies of the new version by route.
func (r *Report) Sum() map[string]Tally {
	sums := make(map[string]Tally)
	for subject, t := range r.New {
		sum := sums[subject.Route]
		sum.Add(t)
		sums[subject.Route] = sum
	}
	return sums
}
