// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package socket asks the system about a socket without reading from it, on Linux.
//
// Go's network poller tells a process that lags late of what has arrived, and a read whose
// deadline has passed does not look. Where it matters whether a peer has sent something, the
// socket itself is asked.
//
// # Usage
//
//	if socket.IsReadable(conn) { /* bytes lie unread, or the peer has closed */ }
package socket
