// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package platform is the client of the platform's object API.
//
// Objects are JSON over HTTP with their version as a strong ETag. A write can be
// conditional (RFC 9110, sections 13.1.1 and 13.1.2) and carries an operation
// id, which the platform stores with the object. If the response to a write is
// lost, the client reads the object back. If it has the write's operation id,
// the write took effect; if its version is unchanged, the client sends the write
// again, since the condition lets only one of the two succeed.
//
// Reads and writes have a rate limiter each. Each poll of a watch counts as one
// read.
//
// # Usage
//
//	client := platform.New(platform.Config{Address: "10.0.0.1:8500"})
//	object, err := client.Get(ctx, key)
//	version, err := client.Put(ctx, object, platform.IfVersion(object.Version), operation)
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/state/spec"
)

// Errors of the client. Any other error means that the platform is unavailable
// or that its response was lost.
var (
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.New("platform: no such object")
	// ErrConflict reports that the condition of a write did not hold. The
	// write did not take effect.
	ErrConflict = errors.New("platform: object has another version")
	// ErrUnresolved reports a write that may or may not have taken effect.
	ErrUnresolved = errors.New("platform: outcome of the write is unknown")
	// ErrRefused reports a request that the platform rejected as malformed.
	ErrRefused = errors.New("platform: request refused")
)

// HeaderOperation is the header for the operation id of a write.
const HeaderOperation = "Operation-Id"

const (
	defaultTimeout   = 3 * time.Second
	defaultReadRate  = 20
	defaultWriteRate = 5
	// WatchHold is how long the platform holds a watch without changes.
	WatchHold = 30 * time.Second
)

// Config configures a Client. Address is required.
type Config struct {
	// Address is the platform's IP:port.
	Address string
	// Client sends the requests. Default: an http.Client without proxy.
	Client *http.Client
	// Scheme is http or https. Default http.
	Scheme string
	// Timeout limits one call, not counting the hold time of a watch.
	// Default 3 s.
	Timeout time.Duration
	// ReadRate and WriteRate limit the calls per second. Defaults 20 and 5.
	ReadRate, WriteRate float64
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	cfg    Config
	base   string
	reads  *rate.Limiter
	writes *rate.Limiter
}

// New returns a client. It opens no connection.
func New(cfg Config) *Client {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.ReadRate <= 0 {
		cfg.ReadRate = defaultReadRate
	}
	if cfg.WriteRate <= 0 {
		cfg.WriteRate = defaultWriteRate
	}
	return &Client{
		cfg:    cfg,
		base:   cfg.Scheme + "://" + cfg.Address,
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadRate), max(1, int(cfg.ReadRate))),
		writes: rate.NewLimiter(rate.Limit(cfg.WriteRate), max(1, int(cfg.WriteRate))),
	}
}

// Condition is the precondition of a write.
type Condition struct {
	header, value string
	version       uint64
}

// IfVersion requires that the object has this version.
func IfVersion(version uint64) Condition {
	return Condition{"If-Match", etag(version), version}
}

// IfAbsent requires that the object does not exist.
func IfAbsent() Condition { return Condition{"If-None-Match", "*", 0} }

// Always sets no condition. It suits objects with a single writer whose order
// does not matter, such as statuses.
func Always() Condition { return Condition{} }

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// Get reads an object. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key spec.Key) (spec.Object, error) {
	body, err := c.read(ctx, "/v1/objects/"+key.String(), c.cfg.Timeout)
	if err != nil {
		return spec.Object{}, errors.Wrapf(err, "get %s", key)
	}
	o, err := spec.DecodeObject(body)
	if err == nil && o.Deleted {
		return o, errors.Wrapf(ErrNotFound, "get %s", key)
	}
	return o, err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind spec.Kind) ([]spec.Object, error) {
	body, err := c.read(ctx, "/v1/objects/"+string(kind), c.cfg.Timeout)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", kind)
	}
	var list spec.Set
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(err, "list %s", kind)
	}
	return list.Objects, nil
}

// VMs reads the list of VMs. It returns false if the list still has the known
// version; the platform then sends no body, as the list is polled often and large
// in a large fleet.
func (c *Client) VMs(ctx context.Context, known uint64) (spec.VMList, bool, error) {
	body, err := c.readIfChanged(ctx, "/v1/vms", c.cfg.Timeout, known)
	if errors.Is(err, errNotModified) {
		return spec.VMList{}, false, nil
	}
	if err != nil {
		return spec.VMList{}, false, errors.Wrap(err, "list VMs")
	}
	list, err := spec.DecodeVMList(body)
	return list, true, err
}

// Watch waits up to hold for changes of configuration objects since a revision,
// and returns them, or none.
func (c *Client) Watch(ctx context.Context, since uint64, hold time.Duration, kinds ...spec.Kind) (spread.Changes, error) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	query := url.Values{
		"since":   {strconv.FormatUint(since, 10)},
		"kinds":   {strings.Join(names, ",")},
		"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)},
	}
	body, err := c.read(ctx, "/v1/watch?"+query.Encode(), c.cfg.Timeout+hold)
	if err != nil {
		return spread.Changes{}, errors.Wrap(err, "watch")
	}
	var changes spread.Changes
	if err := json.Unmarshal(body, &changes); err != nil {
		return spread.Changes{}, errors.Wrap(err, "watch")
	}
	return changes, nil
}

// Put writes an object and returns its new version. The operation id must be
// unique to the write. It returns ErrConflict if the condition did not hold,
// ErrUnresolved if the outcome is unknown, and another error if the write
// certainly did not take effect.
func (c *Client) Put(ctx context.Context, o spec.Object, cond Condition, operation string) (uint64, error) {
	o.Operation = operation
	body, err := json.Marshal(o)
	if err != nil {
		return 0, errors.Wrapf(err, "put %s", o.Key)
	}
	attempt := func() (uint64, error) {
		return c.sendPut(ctx, o.Key, body, cond, operation)
	}
	first, err := attempt()
	if err == nil || !errors.Is(err, ErrUnresolved) {
		return first, errors.Wrapf(err, "put %s", o.Key)
	}
	version, err := backoff.Retry(ctx, func() (uint64, error) {
		return c.resolveWrite(ctx, o.Key, cond, operation, attempt)
	}, backoff.WithMaxElapsedTime(c.cfg.Timeout))
	if err != nil && !errors.Is(err, ErrConflict) {
		err = errors.Mark(err, ErrUnresolved)
	}
	return version, errors.Wrapf(err, "put %s", o.Key)
}

// resolveWrite finds out whether a write whose response was lost took effect. It
// sends the write again if the version of its condition is unchanged, or if it
// has no condition.
func (c *Client) resolveWrite(ctx context.Context, key spec.Key, cond Condition, operation string, resend func() (uint64, error)) (uint64, error) {
	found, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		found = spec.Object{}
	case err != nil:
		return 0, err
	}
	if found.Operation == operation {
		return found.Version, nil
	}
	if cond.header != "" && found.Version < cond.version {
		return 0, errors.Wrap(ErrUnresolved, "the read returned an older version")
	}
	if cond.header != "" && found.Version > cond.version {
		// Another write has replaced the version of our condition. Ours may
		// have taken effect before it, so this is not ErrConflict.
		return 0, backoff.Permanent(errors.Wrap(ErrUnresolved, "another write followed"))
	}
	version, err := resend()
	if errors.Is(err, ErrConflict) {
		// Either our first write or another one took effect meanwhile: read again.
		return 0, errors.Wrap(ErrUnresolved, "condition failed on the second attempt")
	}
	return version, err
}

func (c *Client) sendPut(ctx context.Context, key spec.Key, body []byte, cond Condition, operation string) (uint64, error) {
	if err := c.writes.Wait(ctx); err != nil {
		return 0, errors.Wrap(err, "write rate")
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/v1/objects/"+key.String(), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	// Without GetBody, net/http cannot send the body again by itself after a
	// connection failure.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderOperation, operation)
	if cond.header != "" {
		req.Header.Set(cond.header, cond.value)
	}
	response, status, err := c.send(req)
	if err != nil {
		return 0, errors.Mark(err, ErrUnresolved)
	}
	switch {
	case status == http.StatusPreconditionFailed:
		return 0, ErrConflict
	case status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge:
		return 0, errors.Wrap(ErrRefused, strings.TrimSpace(string(response)))
	case status == http.StatusTooManyRequests:
		return 0, errors.New("platform: too many calls")
	case status != http.StatusOK:
		return 0, errors.Mark(errors.Newf("status %d", status), ErrUnresolved)
	}
	var written spec.Object
	if err := json.Unmarshal(response, &written); err != nil {
		return 0, errors.Mark(err, ErrUnresolved)
	}
	return written.Version, nil
}

// Delete deletes an object. It is no error if the object does not exist.
func (c *Client) Delete(ctx context.Context, key spec.Key) error {
	if err := c.writes.Wait(ctx); err != nil {
		return errors.Wrap(err, "write rate")
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/objects/"+key.String(), nil)
	if err != nil {
		return err
	}
	_, status, err := c.send(req)
	if err == nil && status != http.StatusOK && status != http.StatusNotFound {
		err = errors.Newf("status %d", status)
	}
	return errors.Wrapf(err, "delete %s", key)
}

var errNotModified = errors.New("platform: not changed")

func (c *Client) read(ctx context.Context, path string, timeout time.Duration) ([]byte, error) {
	return c.readIfChanged(ctx, path, timeout, 0)
}

// readIfChanged reads a path. It returns errNotModified if the version is still
// the known one; a known version of 0 always reads.
func (c *Client) readIfChanged(ctx context.Context, path string, timeout time.Duration, known uint64) ([]byte, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return nil, errors.Wrap(err, "read rate")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	if known != 0 {
		req.Header.Set("If-None-Match", etag(known))
	}
	body, status, err := c.send(req)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotModified:
		return nil, errNotModified
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, errors.Newf("status %d", status)
	}
	return body, nil
}

func (c *Client) send(req *http.Request) ([]byte, int, error) {
	res, err := c.cfg.Client.Do(req)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "platform %s", c.cfg.Address)
	}
	defer func() { _ = res.Body.Close() }()
	// A list of many objects may be larger than one object.
	const maxBody = 64 * spec.MaxObjectBytes
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	return body, res.StatusCode, errors.Wrapf(err, "platform %s", c.cfg.Address)
}
