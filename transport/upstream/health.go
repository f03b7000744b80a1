// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"io"
	"time"
)

const (
	// healthTimeout limits the time of a request for the health of a worker.
	healthTimeout = 400 * time.Millisecond
	// maxHealthBody bounds the response body that is read of one, in bytes.
	maxHealthBody = 4 << 10
)

// Health is what a worker answers when it is asked for its health.
type Health struct {
	// ColdTime is for how much longer the worker is cold, 0 if it does not say so.
	ColdTime time.Duration
	// Reconnected and ConnectionOpened are those of the Response.
	Reconnected      bool
	ConnectionOpened time.Time
}

// Health asks a worker for its health at a path. The error is that of Do.
func (c *Client) Health(ctx context.Context, w Worker, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	res, err := c.Do(ctx, w, c.cfg.Dialect.HealthRequest(path))
	if err != nil {
		return Health{}, err
	}
	defer res.Close()
	// The connection is reused only if the body was read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body(), maxHealthBody))
	return Health{
		ColdTime: c.cfg.Dialect.ColdTime(w.ID, res.Header()), Reconnected: res.Reconnected(), ConnectionOpened: res.ConnectionOpened(),
	}, nil
}
