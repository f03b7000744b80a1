// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package decision keeps the latest decisions of a process, each with its inputs, so that
// an on-call engineer can check it.
//
// The log is bounded: a new record replaces the oldest one of its shard. Records must not
// be modified once added.
//
// # Usage
//
//	log := decision.New(decision.Config{Capacity: 4096})
//	log.Add(decision.Record{ID: "r-1", Rule: "home", Subject: "lookup"})
//	record, ok := log.Find("r-1")
package decision

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount      = 16
	defaultCapacity = 4096
)

// Input is a value that a decision used.
type Input struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	// Age is the age of a measurement; 0 means that it was read at decision time.
	Age time.Duration `json:"age_ns,omitempty"`
}

// Record describes one decision.
type Record struct {
	ID         string    `json:"id"`
	Time       time.Time `json:"time"`
	VM         string    `json:"vm"`
	Subject    string    `json:"subject"`
	Rule       string    `json:"rule"`
	Result     string    `json:"result"`
	Generation uint64    `json:"generation"`
	Inputs     []Input   `json:"inputs"`
}

// Config configures a Log. The zero value is valid.
type Config struct {
	// Capacity is the number of records kept. The default is 4096.
	Capacity int
}

// Log keeps the latest records. It is safe for concurrent use.
type Log struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records []Record
	byID    map[string]int
	next    int
}

// New returns an empty log.
func New(cfg Config) *Log {
	capacity := cfg.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	perShard := max(capacity/shardCount, 1)
	l := &Log{}
	for i := range l.shards {
		l.shards[i].records = make([]Record, perShard)
		l.shards[i].byID = make(map[string]int, perShard)
	}
	return l
}

// Add adds a record. It replaces an earlier record with the same ID.
func (l *Log) Add(r Record) {
	s := l.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.byID[r.ID]; ok {
		s.records[i] = r
		return
	}
	if old := s.records[s.next].ID; old != "" {
		delete(s.byID, old)
	}
	s.records[s.next] = r
	s.byID[r.ID] = s.next
	s.next = (s.next + 1) % len(s.records)
}

// Find returns the record with an ID, or false if there is none or it has been overwritten.
func (l *Log) Find(id string) (Record, bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.byID[id]
	if !ok {
		return Record{}, false
	}
	return s.records[i], true
}

func (l *Log) shard(id string) *shard {
	return &l.shards[xxhash.Sum64String(id)%shardCount]
}
