// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package loadgen acts as clients: it looks up VMs, sends reads, payments and
// uploads, checks every answer to the last byte, and measures from the client's
// side.
//
// # Usage
//
//	c := loadgen.New(loadgen.Config{VMs: addresses, Client: address})
//	result := c.Read(ctx, "lookup", 2048)
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/standin"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/transport/entry"
)

// Told is what a client was told of its request.
type Told string

// Values of Told.
const (
	// ToldAnswer is a complete answer that is the client's own.
	ToldAnswer Told = "answer"
	// ToldNotRun is a refusal that says that nothing was run.
	ToldNotRun Told = "not-run"
	// ToldUnknown is any end that leaves open whether it was run.
	ToldUnknown Told = "unknown"
)

// Result is how one request ended.
type Result struct {
	Told Told
	// Wrong is set if an answer that claimed to be complete was not the
	// request's own.
	Wrong   error
	Key     string
	Took    time.Duration
	Tries   int
	Outcome string
	Hall    string
}

// Config sets up a Client. VMs and HTTP are required.
type Config struct {
	// VMs are the entry addresses to ask for look-ups, as callers know them.
	VMs []string
	// HTTP sends the requests. Share one among many clients.
	HTTP *http.Client
	// Client is the address that the requests are for.
	Client netip.Addr
	// Timeout bounds one try of a request without an upload.
	Timeout time.Duration
	// MaxTries bounds the tries of one request. Default 3.
	MaxTries int
	// Pinned is a VM to use whatever look-ups say, if set.
	Pinned string
	// Origin begins the mark of every request, if set, so that upstreams can
	// count where requests come from.
	Origin string
}

// Client acts as one client. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu     sync.Mutex
	cached map[string]cachedLookup
}

type cachedLookup struct {
	answer entry.LookupResponse
	until  time.Time
}

var marks atomic.Uint64

// New returns a client with an empty cache.
func New(cfg Config) *Client {
	const defaultTimeout, defaultTries = 5 * time.Second, 3
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxTries <= 0 {
		cfg.MaxTries = defaultTries
	}
	return &Client{cfg: cfg, cached: make(map[string]cachedLookup)}
}

// NewHTTP returns an HTTP client for many clients. Its dial function may be nil.
func NewHTTP(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	const idle = 256
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute,
	}}
}

func (c *Client) newMark() string {
	if c.cfg.Origin != "" {
		return fmt.Sprintf("%s~m%08x", c.cfg.Origin, marks.Add(1))
	}
	return fmt.Sprintf("m%08x", marks.Add(1))
}

// Lookup returns the cached answer while it lasts, or asks. With fresh, it
// always asks: a ticket is good for one request only.
func (c *Client) Lookup(ctx context.Context, service string, fresh bool) (entry.LookupResponse, error) {
	c.mu.Lock()
	cached, ok := c.cached[service]
	c.mu.Unlock()
	if ok && !fresh && time.Now().Before(cached.until) {
		return cached.answer, nil
	}
	var last error
	for _, vm := range c.askOrder(cached.answer) {
		answer, err := c.ask(ctx, vm, service)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.cached[service] = cachedLookup{answer: answer, until: time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)}
		c.mu.Unlock()
		return answer, nil
	}
	return entry.LookupResponse{}, errors.Wrap(last, "look up")
}

// askOrder begins with the VMs that were named last, since they are near.
func (c *Client) askOrder(last entry.LookupResponse) []string {
	order := make([]string, 0, len(last.VMs)+len(c.cfg.VMs))
	for _, vm := range last.VMs {
		order = append(order, vm.Entry)
	}
	first := int(xxhash.Sum64String(c.cfg.Client.String()) % uint64(max(1, len(c.cfg.VMs))))
	order = append(order, c.cfg.VMs[first:]...)
	return append(order, c.cfg.VMs[:first]...)
}

func (c *Client) ask(ctx context.Context, vm, service string) (entry.LookupResponse, error) {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := "http://" + vm + "/v1/lookup?service=" + service + "&client=" + c.cfg.Client.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return entry.LookupResponse{}, err
	}
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return entry.LookupResponse{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var answer entry.LookupResponse
	if res.StatusCode != http.StatusOK {
		return answer, errors.Newf("status %d from %s", res.StatusCode, vm)
	}
	return answer, json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(&answer)
}

// Read sends a read and checks that the answer is its own and whole.
func (c *Client) Read(ctx context.Context, service string, size int) Result {
	mark := c.newMark()
	want := standin.Fill(mark, size)
	check := func(body []byte) error {
		if !bytes.Equal(body, want) {
			return errors.Newf("mark %s: %d bytes of %d, or of another request", mark, len(body), size)
		}
		return nil
	}
	return c.send(ctx, service, call{
		method: http.MethodGet, path: fmt.Sprintf("/item?size=%d", size), mark: mark, check: check, repeat: true, timeout: c.cfg.Timeout,
	})
}

// Pay sends a request that may run at most once. If its answer is lost, it asks
// again with the same ticket, at the other VMs too.
func (c *Client) Pay(ctx context.Context, service string, body []byte) Result {
	mark := c.newMark()
	return c.send(ctx, service, call{
		method: http.MethodPost, path: "/pay", mark: mark, key: mark, once: true, timeout: c.cfg.Timeout,
		body:  func() io.Reader { return bytes.NewReader(body) },
		size:  int64(len(body)),
		check: receiptCheck(mark, mark, body),
	})
}

// Upload sends a body that takes at least a while, in pieces.
func (c *Client) Upload(ctx context.Context, service string, size int, over time.Duration) Result {
	return c.send(ctx, service, c.uploadCall(size, over))
}

// UploadTo sends an upload to one VM, without a look-up and without a retry.
func (c *Client) UploadTo(ctx context.Context, vm, service string, size int, over time.Duration) Result {
	started := time.Now()
	result := c.try(ctx, entry.LookupVM{Entry: vm}, service, "", c.uploadCall(size, over))
	result.Took = time.Since(started)
	return result
}

func (c *Client) uploadCall(size int, over time.Duration) call {
	mark := c.newMark()
	data := standin.Fill(mark, size)
	return call{
		method: http.MethodPut, path: "/scan", mark: mark, key: mark, size: int64(size),
		body:  func() io.Reader { return &slowReader{data: data, over: over} },
		check: receiptCheck(mark, mark, data),
	}
}

func receiptCheck(mark, key string, body []byte) func([]byte) error {
	sum := xxhash.Sum64(body)
	return func(answer []byte) error {
		var r standin.Receipt
		if err := json.Unmarshal(answer, &r); err != nil {
			return errors.Wrapf(err, "mark %s", mark)
		}
		if r.Mark != mark || r.Key != key || r.Sum != sum || r.Bytes != int64(len(body)) {
			return errors.Newf("mark %s: receipt is for %+v", mark, r)
		}
		return nil
	}
}

type call struct {
	method, path, mark, key string
	body                    func() io.Reader
	size                    int64
	check                   func([]byte) error
	// repeat allows another try after any failure.
	repeat bool
	// once asks again with the same ticket after an unclear end.
	once    bool
	timeout time.Duration
}

func (c *Client) send(ctx context.Context, service string, k call) Result {
	started := time.Now()
	result := Result{Told: ToldNotRun, Key: k.key}
	found, err := c.Lookup(ctx, service, k.once)
	if err != nil {
		result.Outcome = "no look-up: " + err.Error()
		return result
	}
	for i := 0; i < c.cfg.MaxTries && len(found.VMs) > 0 && ctx.Err() == nil; i++ {
		before := result.Told
		vm := found.VMs[i%len(found.VMs)]
		if c.cfg.Pinned != "" {
			vm = entry.LookupVM{Entry: c.cfg.Pinned}
		}
		result = c.try(ctx, vm, service, found.Ticket, k)
		result.Tries = i + 1
		result.Key = k.key
		if i > 0 && before == ToldUnknown && result.unsent() {
			result.Told = ToldUnknown // This try never left; an earlier one may have run.
		}
		if result.final(k) {
			break
		}
		if fresh, err := c.Lookup(ctx, service, true); err == nil && !k.once {
			found = fresh
		}
	}
	result.Took = time.Since(started)
	return result
}

// noConnection is the outcome of a try that reached no VM.
const noConnection = "no connection"

func (r *Result) unsent() bool { return r.Told == ToldNotRun && r.Outcome == noConnection }

// final reports whether another try would be of no use, or would do harm.
func (r *Result) final(k call) bool {
	switch {
	case r.Told == ToldAnswer:
		return true
	case k.once:
		return r.Told == ToldNotRun && !r.unsent()
	}
	return r.Told == ToldUnknown && !k.repeat
}

func (c *Client) try(ctx context.Context, vm entry.LookupVM, service, ticket string, k call) Result {
	if k.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, k.timeout)
		defer cancel()
	}
	var body io.Reader
	if k.body != nil {
		// Not one of the types that net/http could send a second time.
		body = struct{ io.Reader }{k.body()}
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+vm.Entry+entry.RunPrefix+service+k.path, body)
	if err != nil {
		return Result{Told: ToldNotRun, Outcome: err.Error()}
	}
	req.ContentLength = k.size
	req.Header.Set(standin.HeaderMark, k.mark)
	req.Header.Set(outcome.HeaderClient, c.cfg.Client.String())
	if k.key != "" {
		req.Header.Set(standin.HeaderKey, k.key)
	}
	if k.once {
		req.Header.Set(outcome.HeaderTicket, ticket)
	}
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return Result{Told: ToldNotRun, Outcome: noConnection}
		}
		return Result{Told: ToldUnknown, Outcome: err.Error()}
	}
	defer func() { _ = res.Body.Close() }()
	return judge(res, k)
}

func judge(res *http.Response, k call) Result {
	answer, err := io.ReadAll(res.Body)
	told := res.Header.Get(outcome.HeaderOutcome)
	result := Result{Outcome: told, Hall: res.Header.Get(outcome.HeaderHall)}
	switch {
	case err != nil:
		result.Told, result.Outcome = ToldUnknown, "broken: "+err.Error()
	case told == string(outcome.NotRun):
		result.Told = ToldNotRun
		result.Outcome = string(answer)
	case told == string(outcome.Ran) && res.StatusCode == http.StatusOK:
		result.Told = ToldAnswer
		result.Wrong = k.check(answer)
	default:
		result.Told = ToldUnknown
		result.Outcome = string(answer)
	}
	return result
}

// slowReader gives its data in pieces over a time.
type slowReader struct {
	data []byte
	over time.Duration
	pos  int
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	const pieces = 20
	if s.pos >= len(s.data) {
		return 0, io.EOF
	}
	if s.pos > 0 {
		time.Sleep(s.over / pieces)
	}
	piece := min(len(s.data)/pieces+1, len(s.data)-s.pos, len(p))
	copy(p, s.data[s.pos:s.pos+piece])
	s.pos += piece
	return piece, nil
}
