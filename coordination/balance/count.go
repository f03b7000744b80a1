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
	// decayTime is the time in which counts decay to 1/e: long enough to tell a key with
	// one request a second from one with two, short enough to follow demand that moves
	// between regions.
	decayTime = 8 * time.Second
	// workDecayTime is the decay time of service times: short, so that the slow first
	// requests of keys are soon discounted.
	workDecayTime = 1500 * time.Millisecond
	// minCountedFraction is a lower bound of the counting time, as a fraction of
	// decayTime, so that the first counts do not result in excessive rates.
	minCountedFraction = 0.1
)

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	value     float64
	updatedAt time.Time
	decayTime time.Duration
}

func (c *decayingSum) add(n float64, now time.Time) {
	c.value = c.valueAt(now) + n
	c.updatedAt = now
}

func (c *decayingSum) valueAt(now time.Time) float64 {
	return c.value * math.Exp(-now.Sub(c.updatedAt).Seconds()/c.decayTime.Seconds())
}

// addToSum adds to the sum of a key, and drops the value if the key is new and there are
// maxKeys already.
func addToSum[K comparable](sums map[K]*decayingSum, key K, n float64, decay time.Duration, now time.Time) {
	c, ok := sums[key]
	if !ok {
		if len(sums) >= maxKeys {
			return
		}
		c = &decayingSum{updatedAt: now, decayTime: decay}
		sums[key] = c
	}
	c.add(n, now)
}

// perSecond returns the rate of a sum, corrected for a short counting time.
func (b *Balancer) perSecond(c *decayingSum, now time.Time) float64 {
	elapsed := now.Sub(b.started).Seconds() / decayTime.Seconds()
	return c.valueAt(now) / (decayTime.Seconds() * (1 - math.Exp(-max(elapsed, minCountedFraction))))
}

// meanServiceTime returns the mean duration of a service's answers, in seconds, or 0 if
// too few have been counted.
func (b *Balancer) meanServiceTime(service string, now time.Time) float64 {
	answers, ok := b.answers[service]
	if !ok || answers.valueAt(now) < 1 {
		return 0
	}
	return b.totalTime[service].valueAt(now) / answers.valueAt(now)
}

// keyLoad is a key with its request rate.
type keyLoad struct {
	key  demand.Key
	id   holders.Key
	rate float64 // requests a second
}

// keysByService returns all keys with their rates, the busiest first.
func (b *Balancer) keysByService(now time.Time) map[string][]keyLoad {
	services := make(map[string][]keyLoad)
	for key, c := range b.keys {
		id := holders.KeyOf(key.Service, key.Region, key.Hash)
		services[key.Service] = append(services[key.Service], keyLoad{key: key, id: id, rate: b.perSecond(c, now)})
	}
	for _, keys := range services {
		slices.SortFunc(keys, func(a, b keyLoad) int {
			return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.id, b.id))
		})
	}
	return services
}
