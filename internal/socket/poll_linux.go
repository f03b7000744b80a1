// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HungUp reports whether the peer has closed a connection or its sending half, regardless of
// unread bytes. It reports false where the system can't tell.
func HungUp(c net.Conn) bool {
	return poll(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// IsReadable reports whether a connection has unread bytes or has been closed by its peer, or
// whether a listener has a connection to accept. It reports false where the system can't tell.
func IsReadable(socket any) bool { return poll(socket, unix.POLLIN|unix.POLLRDHUP) != 0 }

// poll returns the events that have occurred at a socket, without waiting.
func poll(socket any, events int16) (occurred int16) {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	// An error means that the socket is closed.
	_ = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			occurred = fds[0].Revents
		}
	})
	return occurred
}
