// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

// CanaryFraction is the fraction of a service's keys, and of the new workers in each region,
// that try out a new version. Using one fraction for both gives a canary about the load of
// a stable worker, so that a version that fails under load is detected.
const CanaryFraction = 0.03

// Track selects the workers of a service that may get a request during a rollout.
type Track uint8

// Tracks of a rollout.
const (
	// TrackStable selects the workers of the current version.
	TrackStable Track = iota
	// TrackCanary selects the few workers that try out the new version.
	TrackCanary
	// TrackNew selects all workers of the new version.
	TrackNew
)

// String names the track in decision records.
func (t Track) String() string {
	switch t {
	case TrackStable:
		return "old workers"
	case TrackCanary:
		return "canary workers"
	case TrackNew:
		return "new workers"
	default:
		return "track " + strconv.Itoa(int(t))
	}
}

// cohort holds the workers of a version that is being rolled out.
type cohort struct{ all, canaries []*Worker }

// cohortsOf selects the canaries of each service: in each region the workers whose IDs have
// the highest hashes. All VMs select the same ones, and a change of the workers replaces
// few canaries.
func cohortsOf(newVersion map[string][]*Worker) map[string]cohort {
	cohorts := make(map[string]cohort, len(newVersion))
	for service, all := range newVersion {
		regions := make(map[string][]*Worker)
		for _, w := range all {
			regions[w.Region] = append(regions[w.Region], w)
		}
		var canaries []*Worker
		for _, workers := range regions {
			slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(b.Hash(), a.Hash()) })
			canaries = append(canaries, workers[:int(math.Ceil(CanaryFraction*float64(len(workers))))]...)
		}
		compareIDs := func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) }
		slices.SortFunc(all, compareIDs)
		slices.SortFunc(canaries, compareIDs)
		cohorts[service] = cohort{all: all, canaries: canaries}
	}
	return cohorts
}

// Track returns the workers of a service on a track, sorted by ID. If no worker of the
// current version is left, TrackStable selects the new ones. The slice and the workers must
// not be modified.
func (s *Set) Track(service string, track Track) []*Worker {
	newVersion := s.cohorts[service]
	stable := s.services[service]
	switch {
	case track == TrackCanary:
		return newVersion.canaries
	case track == TrackNew || len(stable) == 0:
		return newVersion.all
	}
	return stable
}
