// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"context"
	"slices"
	"time"
)

// mayBegin reports whether a request may begin now, and takes its unit of the shared limit
// if it begins behind others. mu is held.
func (c *conn) mayBegin(r *response) bool {
	n := len(c.queue)
	switch {
	case n == 0:
		return true
	case !r.concurrent || !c.queue[0].concurrent || n >= c.server.cfg.MaxDepth:
		return false
	case slices.ContainsFunc(c.queue, func(other *response) bool { return other.streams }):
		return false
	}
	r.countsBehind = c.server.behind.take(n-1, 1)
	return r.countsBehind
}

// push adds a request to queue. mu is held.
func (c *conn) push(r *response) {
	r.turn = closedChannel
	ahead := len(c.queue)
	if ahead > 0 {
		r.turn = make(chan struct{})
		if c.queue[0].sending {
			ahead-- // The client may have its response already.
		}
	}
	if r.position = (Position{Ahead: ahead, Waited: time.Since(r.receivedAt)}); ahead > 0 {
		c.server.cfg.Metrics.PipelinedRequest(ahead)
	}
	r.ctx, r.cancel = context.WithCancel(context.WithValue(c.ctx, responseKey{}, r))
	c.queue = append(c.queue, r)
	stopping := c.server.stopping.Load()
	if stopping {
		c.server.late.requests.Add(1)
	}
	c.ended = c.ended || r.req.Close || c.draining || stopping
}

// run runs a request and sends its response when its turn has come.
func (c *conn) run(r *response) {
	completed := r.serve()
	r.cancel()
	heldSince := c.markReturned(r, completed)
	if !completed {
		c.cancelBehind(r)
	}
	<-r.turn
	sent := completed && r.finish() == nil
	if !completed && c.ctx.Err() == nil {
		c.server.cfg.Metrics.ConnectionEnded(reasonAborted)
	}
	if !sent && !c.isBroken() {
		c.endAfterIncomplete(r)
	}
	if r.body != nil {
		c.limitDiscard(r.body)
		if !r.body.finish(sent && !r.awaitsContinue()) {
			c.stopReadingBody() // Before the release: what follows is no request.
			r.body.release()
		}
	}
	if !heldSince.IsZero() {
		held := time.Since(heldSince)
		c.server.cfg.Metrics.ResponseHeld(held)
		if sent {
			r.onSent(held)
		}
	}
	c.pop(r)
}

// markReturned marks a response whose handler has returned. It returns the time if the turn
// of the response has not come yet, else the zero time.
func (c *conn) markReturned(r *response, completed bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ready = completed
	if r.streams {
		r.streams = false
		if c.phase == phaseTurn && !c.ended {
			c.interruptRead()
		}
	}
	if c.queue[0] == r {
		return time.Time{}
	}
	return time.Now()
}

// limitDiscard bounds the time for what is left of a body, which also ends a read of it that
// the handler has left pending.
func (c *conn) limitDiscard(b *body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody && !b.isReleased() {
		c.setDeadline(time.Now().Add(discardTimeout))
	}
}

// startSending marks the first response, whose last bytes are about to be sent. It reports
// whether the next one is complete, so that both can be sent together.
func (c *conn) startSending(r *response) (nextIsReady bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sending = true
	return len(c.queue) > 1 && c.queue[1].ready
}

// cancelBehind cancels the requests behind an aborted one, whose responses can't be sent.
func (c *conn) cancelBehind(r *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	behind := false
	for _, other := range c.queue {
		if behind {
			other.cancel()
		}
		behind = behind || other == r
	}
}

// pop removes the first request from queue and lets the next one send its response.
func (c *conn) pop(r *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue[0] = nil
	if c.queue = c.queue[1:]; len(c.queue) > 0 {
		close(c.queue[0].turn)
	}
	if r.countsBehind {
		c.server.behind.release(1)
	}
	c.releaseHeld(r)
	c.collected -= r.collectedBytes
	c.server.collected.release(r.collectedBytes)
	c.popped.Broadcast()
	if len(c.queue) == 0 {
		c.restsSince = time.Now()
	}
	drained := c.draining && c.phase == phaseIdle && !c.ended
	if c.phase == phaseTurn && !c.ended || (c.phase == phaseWatch || drained) && len(c.queue) == 0 {
		c.interruptRead()
	}
}

// hold accounts for bytes of a response that waits for its turn, if the limits allow it.
func (c *conn) hold(r *response, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+n > c.server.cfg.MaxHeld || !c.server.held.take(c.held, n) {
		return false
	}
	c.held += n
	r.heldBytes += n
	c.server.cfg.Metrics.HeldBytes(c.server.held.inUse())
	return true
}

// releaseHeld returns what a response has taken by hold. mu is held.
func (c *conn) releaseHeld(r *response) {
	if r.heldBytes == 0 {
		return
	}
	c.held -= r.heldBytes
	c.server.held.release(r.heldBytes)
	r.heldBytes = 0
	c.server.cfg.Metrics.HeldBytes(c.server.held.inUse())
}

// collect accounts for the bytes of a response that is kept until it is whole, total of them so
// far, if requests behind it have begun and the limit allows it.
func (c *conn) collect(r *response, total int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	more := max(total-r.collectedBytes, 0)
	if c.queue[len(c.queue)-1] == r || !c.server.collected.take(c.collected, more) {
		r.streams = true
		return false
	}
	c.collected += more
	r.collectedBytes += more
	return true
}

// closesWith reports whether a response, whose turn has come, is the last one of the
// connection. If closes is set, nothing further is read.
func (c *conn) closesWith(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes {
		c.end()
	}
	last := c.ended && len(c.queue) == 1
	c.queue[0].keptOpen = !last
	c.lingers = c.lingers || last
	return last
}

// awaitResponses waits until no request is left in queue.
func (c *conn) awaitResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 {
		c.popped.Wait()
	}
}
