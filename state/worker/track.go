// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"cmp"
	"math"
	"slices"
)

// CanaryPart is the part of a service's keys, and of the new workers of each region, with
// which a new version is tried out. With both the same, each of these workers serves about
// as many requests as an old one does, so that a version which fails under load is found.
const CanaryPart = 0.03

// Track says which workers of a service a request may go to while a new version of it is
// being brought in.
type Track uint8

// Tracks.
const (
	// TrackStable are the workers of the version in use.
	TrackStable Track = iota
	// TrackCanary are the few workers that try the new version out.
	TrackCanary
	// TrackNew are all workers of the new version.
	TrackNew
)

// cohort holds the workers of a version that is being brought in.
type cohort struct{ all, canaries []*Worker }

// cohortsOf chooses the canaries of each service: in each region those whose ids have the
// greatest hashes, so that all VMs choose the same ones and few change.
func cohortsOf(brought map[string][]*Worker) map[string]cohort {
	cohorts := make(map[string]cohort, len(brought))
	for service, all := range brought {
		regions := make(map[string][]*Worker)
		for _, w := range all {
			regions[w.Region] = append(regions[w.Region], w)
		}
		var canaries []*Worker
		for _, workers := range regions {
			slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(b.Hash(), a.Hash()) })
			canaries = append(canaries, workers[:int(math.Ceil(CanaryPart*float64(len(workers))))]...)
		}
		byID := func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) }
		slices.SortFunc(all, byID)
		slices.SortFunc(canaries, byID)
		cohorts[service] = cohort{all: all, canaries: canaries}
	}
	return cohorts
}

// Track returns the workers of a service that a request may go to, in order of their ids.
// Where no old worker is left, the new ones serve. The slice and the workers must not be
// changed.
func (s *Set) Track(service string, track Track) []*Worker {
	brought := s.cohorts[service]
	stable := s.services[service]
	switch {
	case track == TrackCanary:
		return brought.canaries
	case track == TrackNew || len(stable) == 0:
		return brought.all
	}
	return stable
}
