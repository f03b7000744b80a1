// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "net"

// readAheadStep is the number of bytes by which the buffer of a lookahead grows.
const readAheadStep = 4 << 10

// lookahead reads from a connection, also before the bytes are asked for, so that the end
// of the connection is noticed behind them. Only one goroutine may use it at a time.
type lookahead struct {
	source net.Conn
	// unread holds the bytes read ahead. It is nil while there are none.
	unread []byte
	limit  int
	// extend is called after a read deadline, and reports whether to read once more.
	extend func() bool
}

// Read implements io.Reader.
func (l *lookahead) Read(p []byte) (int, error) {
	if len(l.unread) == 0 {
		n, err := l.source.Read(p)
		if n == 0 && isTimeout(err) && l.extend() {
			return l.source.Read(p)
		}
		return n, err
	}
	n := copy(p, l.unread)
	if l.unread = l.unread[n:]; len(l.unread) == 0 {
		l.unread = nil
	}
	return n, nil
}

// empty reports whether no bytes have been read ahead.
func (l *lookahead) empty() bool { return len(l.unread) == 0 }

// full reports whether no more bytes may be read ahead.
func (l *lookahead) full() bool { return len(l.unread) >= l.limit }

// readAhead waits for further bytes and keeps them.
func (l *lookahead) readAhead() error {
	room := min(readAheadStep, l.limit-len(l.unread))
	grown := make([]byte, len(l.unread)+room)
	n, err := l.source.Read(grown[copy(grown, l.unread):])
	if n > 0 {
		l.unread = grown[:len(l.unread)+n]
	}
	return err
}
