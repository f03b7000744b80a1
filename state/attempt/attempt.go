// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package attempt ensures that a request that must not be repeated runs at most
// once, by binding it to one VM.
//
// A ticket consists of the VM's id, the VM's start number, an expiry time and a
// nonce. Only that VM in that start accepts the ticket, and only once: a second use
// finds the claim of the first. A restarted VM has an empty table but rejects
// tickets with an earlier start number. A record is kept at least until its ticket
// expires, by the same clock that validates tickets.
//
// # Usage
//
//	table := attempt.New(attempt.Config{VM: "a1", Start: 7, Now: time.Now})
//	claim, first, err := table.Claim(ticket)
//	// If first, run the request, then:
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

// Errors for rejected tickets. The request was not started.
var (
	ErrSyntax           = errors.New("attempt: malformed ticket")
	ErrOtherVM          = errors.New("attempt: ticket names another VM")
	ErrEarlierStart     = errors.New("attempt: ticket is from an earlier start of this VM")
	ErrExpired          = errors.New("attempt: ticket has expired")
	ErrLifetimeExceeded = errors.New("attempt: ticket lifetime exceeds the maximum")
	ErrFull             = errors.New("attempt: table is full")
)

const (
	shardCount      = 16
	defaultCapacity = 65536
	// MaxTerm is the maximum lifetime of a ticket. It bounds how long the table
	// keeps a record.
	MaxTerm = 10 * time.Minute
	// maxClockSkew is how far the clock of the issuing VM may run ahead.
	maxClockSkew = time.Minute
	ticketParts  = 4
	nonceBytes   = 12
)

// Ticket permits one request to run once.
type Ticket struct {
	vm      string
	start   uint64
	expires time.Time
	nonce   string
}

// NewTicket issues a ticket for a VM, identified by its id and start number. VM ids
// contain no dots.
func NewTicket(vm string, start uint64, expires time.Time) Ticket {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never returns an error.
	return Ticket{vm: vm, start: start, expires: expires, nonce: hex.EncodeToString(nonce[:])}
}

// ParseTicket parses the form that String returns. It returns ErrSyntax for any
// other text.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, ".")
	if len(parts) != ticketParts || parts[0] == "" || len(text) > 256 {
		return Ticket{}, ErrSyntax
	}
	start, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrSyntax, "invalid start number")
	}
	millis, err := strconv.ParseInt(parts[2], 36, 64)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrSyntax, "invalid expiry")
	}
	if len(parts[3]) != 2*nonceBytes {
		return Ticket{}, errors.Wrap(ErrSyntax, "invalid nonce length")
	}
	return Ticket{vm: parts[0], start: start, expires: time.UnixMilli(millis), nonce: parts[3]}, nil
}

// String returns the form that ParseTicket accepts.
func (t Ticket) String() string {
	return t.vm + "." + strconv.FormatUint(t.start, 36) + "." +
		strconv.FormatInt(t.expires.UnixMilli(), 36) + "." + t.nonce
}

// VM returns the id of the only VM that accepts the ticket.
func (t Ticket) VM() string { return t.vm }

// Outcome is the state of a claimed request.
type Outcome int

// Outcomes of a claim.
const (
	// OutcomePending means that the request is in progress.
	OutcomePending Outcome = iota
	// OutcomeRan means that an upstream answered.
	OutcomeRan
	// OutcomeNotRun means that no upstream ran the request and none will.
	OutcomeNotRun
	// OutcomeUnknown means that an upstream may have run the request.
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

// Answer is the response of a finished attempt, kept for repeated queries. Body is
// nil if the response was too large to keep.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool
}

// Config configures a Table. VM, Start and Now are required.
type Config struct {
	VM    string
	Start uint64
	// Now must not run backwards. time.Now qualifies if the caller guards against
	// steps of the wall clock.
	Now func() time.Time
	// Capacity bounds the number of records. Default 65536.
	Capacity int
}

// Table records the tickets used at this VM. It is safe for concurrent use.
type Table struct {
	cfg      Config
	perShard int
	shards   [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	records   map[string]*Claim
	nextSweep time.Time
}

// Claim records the first use of a ticket.
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

// Claim uses a ticket. If the returned bool is true, this is the first use, and the
// caller must call Finish exactly once. Otherwise the returned claim is that of the
// first use. The errors are those declared above, except ErrSyntax.
func (t *Table) Claim(ticket Ticket) (*Claim, bool, error) {
	if ticket.vm != t.cfg.VM {
		return nil, false, ErrOtherVM
	}
	if ticket.start != t.cfg.Start {
		return nil, false, ErrEarlierStart
	}
	now := t.cfg.Now()
	if !now.Before(ticket.expires) {
		return nil, false, ErrExpired
	}
	if ticket.expires.After(now.Add(MaxTerm + maxClockSkew)) {
		return nil, false, ErrLifetimeExceeded
	}
	s := &t.shards[xxhash.Sum64String(ticket.nonce)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.records[ticket.nonce]; ok {
		return c, false, nil
	}
	s.removeExpired(now)
	if len(s.records) >= t.perShard {
		return nil, false, ErrFull
	}
	c := &Claim{expires: ticket.expires, done: make(chan struct{})}
	s.records[ticket.nonce] = c
	return c, true, nil
}

// Len returns the number of records.
func (t *Table) Len() int {
	total := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		total += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return total
}

// removeExpired drops finished records whose ticket has expired, at most once a
// second. Pending records are kept.
func (s *shard) removeExpired(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(time.Second)
	for nonce, c := range s.records {
		if outcome, _ := c.Result(); outcome != OutcomePending && !now.Before(c.expires) {
			delete(s.records, nonce)
		}
	}
}

// Finish records the outcome of the request. Calls after the first have no effect.
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
