// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"time"
)

// checkTimeout limits a check, apart from opening the connection.
const checkTimeout = 400 * time.Millisecond

// Check reports whether a worker answers on a new connection. It sends the request of
// Dialect.CheckRequest, and takes any byte for an answer.
func (c *Client) Check(ctx context.Context, w Worker) error {
	checked, err := c.open(ctx, c.pool(w.Address), w)
	if err != nil {
		return err
	}
	defer checked.close()
	stop := context.AfterFunc(ctx, checked.close)
	defer stop()
	_ = checked.raw.SetDeadline(time.Now().Add(checkTimeout))
	out := bufio.NewWriter(checked.raw)
	err = c.cfg.Dialect.CheckRequest().writeHead(out)
	if err == nil {
		err = out.Flush()
	}
	if err == nil {
		_, err = checked.reader.Peek(1)
	}
	if err != nil {
		return &Error{kind: KindUnreachable, notRun: true, step: "check", worker: w.ID, cause: err}
	}
	return nil
}
