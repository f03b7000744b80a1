// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package attempt binds a request that may not be repeated to one VM and makes
// sure that this VM starts it at most once.
//
// A ticket names the VM, the number of that VM's start, the time after which it
// can no longer be used, and a random part. Only the named VM, in the named
// start, accepts the ticket, and only once: a second use finds the record of
// the first. A VM that was started anew has an empty table but refuses the old
// start number, so nothing is run twice. The table forgets a ticket only after
// its last moment, judged by the same clock that judges the ticket.
//
// # Usage
//
//	table := attempt.New(attempt.Config{VM: "a1", Start: 7, Now: time.Now})
//	claim, err := table.Claim(ticket)
//	// run the request, then
//	claim.Finish(attempt.OutcomeRan, answer)
package attempt

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Refusals of a ticket. None of them started the request.
var (
	ErrSyntax  = errors.New("attempt: malformed ticket")
	ErrOtherVM = errors.New("attempt: ticket names another VM")
	ErrRestart = errors.New("attempt: ticket is from an earlier start of this VM")
	ErrExpired = errors.New("attempt: ticket has expired")
	ErrTooLong = errors.New("attempt: ticket lasts longer than the longest term")
	ErrFull    = errors.New("attempt: table is full")
)

const (
	shardCount      = 16
	defaultCapacity = 65536
	// MaxTerm is the longest time from issue to the end of a ticket. It
	// bounds how long the table keeps a record.
	MaxTerm = 10 * time.Minute
	// maxClockSkew is how far the issuing VM's clock may run ahead.
	maxClockSkew = time.Minute
	ticketParts  = 4
	nonceBytes   = 12
)

// Ticket is the permission to try one request once.
type Ticket struct {
	vm      string
	start   uint64
	expires time.Time
	nonce   string
}

// NewTicket issues a ticket for a VM, identified by its id and start number.
// VM ids hold no dots.
func NewTicket(vm string, start uint64, expires time.Time) Ticket {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never fails since Go 1.24.
	return Ticket{vm: vm, start: start, expires: expires, nonce: hex.EncodeToString(nonce[:])}
}

// ParseTicket reads the text form. It returns ErrSyntax for anything else.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, ".")
	if len(parts) != ticketParts || parts[0] == "" || len(text) > 256 {
		return Ticket{}, ErrSyntax
	}
	start, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrSyntax, "start number")
	}
	millis, err := strconv.ParseInt(parts[2], 36, 64)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrSyntax, "expiry")
	}
	if len(parts[3]) != 2*nonceBytes {
		return Ticket{}, errors.Wrap(ErrSyntax, "nonce")
	}
	return Ticket{vm: parts[0], start: start, expires: time.UnixMilli(millis), nonce: parts[3]}, nil
}

// String returns the text form that ParseTicket reads.
func (t Ticket) String() string {
	return t.vm + "." + strconv.FormatUint(t.start, 36) + "." +
		strconv.FormatInt(t.expires.UnixMilli(), 36) + "." + t.nonce
}

// VM returns the id of the only VM that may use the ticket.
func (t Ticket) VM() string { return t.vm }

// Outcome says what became of a claimed request.
type Outcome int

// Outcomes of a claim.
const (
	// OutcomePending means that the request is still under way.
	OutcomePending Outcome = iota
	// OutcomeRan means that an upstream answered.
	OutcomeRan
	// OutcomeNotRun means that no upstream ran it and none will.
	OutcomeNotRun
	// OutcomeUnknown means that an upstream may have run it.
	OutcomeUnknown
)

// String returns the outcome's name as used in answers and logs.
func (o Outcome) String() string {
	switch o {
	case OutcomePending:
		return "pending"
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Answer is what a finished attempt returned, kept for repeated questions.
// Body is nil if the answer was too large to keep.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool
}

// Config sets up a Table. VM, Start and Now are required.
type Config struct {
	VM    string
	Start uint64
	// Now must never run backwards; time.Now of one process qualifies if the
	// caller clamps it against steps of the wall clock.
	Now func() time.Time
	// Capacity bounds the records. Default 65536.
	Capacity int
}

// Table records the tickets used at this VM. It is safe for concurrent use.
type Table struct {
	cfg      Config
	perShard int
	shards   [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*Claim
	sweep   time.Time
}

// Claim is the one use of a ticket.
type Claim struct {
	mu      sync.Mutex
	expires time.Time
	outcome Outcome
	answer  Answer
	done    chan struct{}
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	t := &Table{cfg: cfg, perShard: max(cfg.Capacity/shardCount, 1)}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*Claim)
	}
	return t
}

// Claim uses a ticket. The bool is true if this call is the first use, and the
// caller then must call Finish exactly once; otherwise the claim is that of the
// first use. The errors are those listed above.
func (t *Table) Claim(ticket Ticket) (*Claim, bool, error) {
	if ticket.vm != t.cfg.VM {
		return nil, false, ErrOtherVM
	}
	if ticket.start != t.cfg.Start {
		return nil, false, ErrRestart
	}
	now := t.cfg.Now()
	if !now.Before(ticket.expires) {
		return nil, false, ErrExpired
	}
	if ticket.expires.After(now.Add(MaxTerm + maxClockSkew)) {
		return nil, false, ErrTooLong
	}
	s := &t.shards[xxhash.Sum64String(ticket.nonce)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.records[ticket.nonce]; ok {
		return c, false, nil
	}
	s.forget(now)
	if len(s.records) >= t.perShard {
		return nil, false, ErrFull
	}
	c := &Claim{expires: ticket.expires, done: make(chan struct{})}
	s.records[ticket.nonce] = c
	return c, true, nil
}

// Len returns how many records the table holds.
func (t *Table) Len() int {
	total := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		total += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return total
}

// forget drops records whose ticket can no longer be used, at most once a
// second. A request still under way is kept however long it takes.
func (s *shard) forget(now time.Time) {
	if now.Before(s.sweep) {
		return
	}
	s.sweep = now.Add(time.Second)
	for nonce, c := range s.records {
		if outcome, _ := c.Result(); outcome != OutcomePending && !now.Before(c.expires) {
			delete(s.records, nonce)
		}
	}
}

// Finish records what became of the request. Only the first call counts.
func (c *Claim) Finish(outcome Outcome, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcome != OutcomePending {
		return
	}
	c.outcome = outcome
	c.answer = answer
	close(c.done)
}

// Result returns the outcome so far and, once finished, the answer.
func (c *Claim) Result() (Outcome, Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome, c.answer
}

// Done returns a channel that is closed by Finish.
func (c *Claim) Done() <-chan struct{} { return c.done }
