// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"testing"
	"time"
)

func TestSilenceDetector(t *testing.T) {
	const timeout = 900 * time.Millisecond
	const never = 100
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := map[string]struct {
		// at returns the result of the nth check, from 1.
		at func(n int) transmission
		// pause is the time between two checks.
		pause time.Duration
		// found is the check at which the peer counts as silent.
		found int
	}{
		"nothing sent": {
			at: func(n int) transmission { return transmission{sinceSent: ms(150 * n), sinceAck: ms(150 * n)} }, found: never,
		},
		"sent and never acknowledged": {
			at: func(n int) transmission {
				return transmission{inFlight: true, sinceSent: ms(150 * n), sinceAck: ms(5000 + 150*n)}
			}, found: 6,
		},
		"retransmitted without an answer": {
			at: func(n int) transmission {
				return transmission{inFlight: true, retransmits: n, sinceSent: ms(100), sinceAck: ms(150*n + 1)}
			}, found: 6,
		},
		"acknowledged slowly": {
			at: func(int) transmission { return transmission{inFlight: true, sinceSent: ms(10), sinceAck: ms(140)} }, found: never,
		},
		"retransmissions acknowledged, but discarded": {
			at: func(n int) transmission {
				return transmission{inFlight: true, retransmits: 3, sinceSent: ms(200 * n), sinceAck: ms(200 * n)}
			}, found: never,
		},
		"window closed, probes answered": {
			at: func(n int) transmission {
				return transmission{unsent: true, sinceSent: ms(150 * n), sinceAck: ms(2000)}
			}, found: never,
		},
		"window closed, one probe lost": {
			at: func(n int) transmission {
				return transmission{unsent: true, unansweredProbes: 1, sinceSent: ms(150 * n), sinceAck: ms(150 * n)}
			}, found: never,
		},
		"window closed, probes not answered": {
			at: func(n int) transmission {
				return transmission{unsent: true, unansweredProbes: n / 2, sinceSent: ms(150 * n), sinceAck: ms(150 * n)}
			}, found: 6,
		},
		"suspended between two checks": {
			at: func(n int) transmission {
				return transmission{inFlight: true, sinceSent: ms(60_000 * n), sinceAck: ms(60_000 * n)}
			}, pause: time.Minute, found: 3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := silenceDetector{timeout: timeout}
			pause := c.pause
			if pause == 0 {
				pause = silenceInterval
			}
			for n := 1; n <= never; n++ {
				if d.observe(c.at(n), pause) {
					if n != c.found {
						t.Fatalf("silent at check %d, want %d", n, c.found)
					}
					return
				}
			}
			if c.found != never {
				t.Fatalf("not silent after %d checks, want %d", never, c.found)
			}
		})
	}
}
