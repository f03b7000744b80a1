// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
)

const (
	// memory is the time in which counts fade to 1/e: long enough that a key
	// with one request a second is told from one with two, short enough to
	// follow demand that moves between regions in half a minute.
	memory = 8 * time.Second
	// workMemory is that of how long workers take: short, so that the slow
	// first runs of keys are soon forgotten.
	workMemory = 1500 * time.Millisecond
	// leastCounted keeps the first counts from looking like a flood, in parts
	// of memory.
	leastCounted = 0.1
)

// count is a sum that fades.
type count struct {
	value  float64
	last   time.Time
	memory time.Duration
}

func (c *count) add(n float64, now time.Time) {
	c.value = c.at(now) + n
	c.last = now
}

func (c *count) at(now time.Time) float64 {
	return c.value * math.Exp(-now.Sub(c.last).Seconds()/c.memory.Seconds())
}

// add adds to one of at most maxKeys counts.
func add[K comparable](counts map[K]*count, key K, n float64, memory time.Duration, now time.Time) {
	c, ok := counts[key]
	if !ok {
		if len(counts) >= maxKeys {
			return
		}
		c = &count{last: now, memory: memory}
		counts[key] = c
	}
	c.add(n, now)
}

// perSecond returns a count's rate, also while this VM has not counted for long.
func (b *Balancer) perSecond(c *count, now time.Time) float64 {
	counted := now.Sub(b.started).Seconds() / memory.Seconds()
	return c.at(now) / (memory.Seconds() * (1 - math.Exp(-max(counted, leastCounted))))
}

// perAnswer returns how long a worker of a service takes, in seconds, or 0 if
// too few have answered.
func (b *Balancer) perAnswer(service string, now time.Time) float64 {
	answers, ok := b.answers[service]
	if !ok || answers.at(now) < 1 {
		return 0
	}
	return b.took[service].at(now) / answers.at(now)
}

// keyed is a key with its demand.
type keyed struct {
	key  demand.Key
	id   holders.Key
	rate float64 // requests a second
}

// keysByService returns all keys with their rates, the busiest first.
func (b *Balancer) keysByService(now time.Time) map[string][]keyed {
	services := make(map[string][]keyed)
	for key, c := range b.keys {
		id := holders.KeyOf(key.Service, key.Region, key.Hash)
		services[key.Service] = append(services[key.Service], keyed{key: key, id: id, rate: b.perSecond(c, now)})
	}
	for _, keys := range services {
		slices.SortFunc(keys, func(a, b keyed) int {
			return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.id, b.id))
		})
	}
	return services
}
