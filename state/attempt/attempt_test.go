// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package attempt_test

import (
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/attempt"
)

// A ticket must be claimed first at most once across restarts and expiry.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		start := uint64(1)
		newTable := func() *attempt.Table {
			return attempt.New(attempt.Config{VM: "a1", Start: start, Now: clock.Now, Capacity: 64})
		}
		table := newTable()
		var tickets []attempt.Ticket
		runs := make(map[string]int)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				start++
				table = newTable()
			case 1:
				clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "s")) * time.Second)
			case 2, 3:
				tickets = append(tickets, attempt.NewTicket("a1", start, clock.Now().Add(2*time.Minute)))
			default:
				if len(tickets) == 0 {
					continue
				}
				ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
				claim, first, err := table.Claim(ticket)
				if err != nil || !first {
					continue
				}
				runs[ticket.String()]++
				if rapid.Bool().Draw(t, "finish") {
					claim.Finish(attempt.OutcomeRan, attempt.Answer{})
				}
			}
		}
		for ticket, n := range runs {
			if n > 1 {
				t.Fatalf("ticket %s had %d first uses", ticket, n)
			}
		}
	})
}

func TestConcurrentClaimsHaveOneFirstUse(t *testing.T) {
	table := attempt.New(attempt.Config{VM: "a1", Start: 1, Now: time.Now})
	ticket := attempt.NewTicket("a1", 1, time.Now().Add(time.Minute))
	var wg sync.WaitGroup
	firsts := make(chan bool, 64)
	for range 64 {
		wg.Go(func() {
			_, first, err := table.Claim(ticket)
			firsts <- first && err == nil
		})
	}
	wg.Wait()
	close(firsts)
	n := 0
	for first := range firsts {
		if first {
			n++
		}
	}
	if n != 1 {
		t.Fatalf("%d claims were first uses, want 1", n)
	}
}

func TestRefusals(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		ticket attempt.Ticket
		want   error
	}{
		"another VM":    {attempt.NewTicket("a2", 1, now.Add(time.Minute)), attempt.ErrOtherVM},
		"earlier start": {attempt.NewTicket("a1", 0, now.Add(time.Minute)), attempt.ErrEarlierStart},
		"expired":       {attempt.NewTicket("a1", 1, now.Add(-time.Second)), attempt.ErrExpired},
		"too long":      {attempt.NewTicket("a1", 1, now.Add(time.Hour)), attempt.ErrLifetimeExceeded},
	}
	table := attempt.New(attempt.Config{VM: "a1", Start: 1, Now: func() time.Time { return now }})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, _, err := table.Claim(c.ticket); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	now := time.Now()
	table := attempt.New(attempt.Config{VM: "a1", Start: 1, Now: func() time.Time { return now }, Capacity: 32})
	full := 0
	for range 1000 {
		if _, _, err := table.Claim(attempt.NewTicket("a1", 1, now.Add(time.Minute))); errors.Is(err, attempt.ErrFull) {
			full++
		}
	}
	if table.Len() > 32 || full < 900 {
		t.Fatalf("%d records, %d refusals", table.Len(), full)
	}
}
