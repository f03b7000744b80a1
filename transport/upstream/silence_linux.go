// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpRTOMax is the socket option TCP_RTO_MAX_MS of Linux 6.15 and later.
	tcpRTOMax = 44
	// maxProbeInterval bounds the time between two window probes, so that a peer that turns
	// silent while its window is closed is noticed.
	maxProbeInterval = time.Second
)

// userTimeoutControl returns a net.Dialer.Control function that limits how long
// sent data may stay unacknowledged, or nil to keep the default of the system.
func userTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	if timeout <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(socket uintptr) {
			optErr = unix.SetsockoptInt(int(socket), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// newTransmissionReader returns a function that describes what was sent on a connection, and
// removes the connection's user timeout in exchange: TCP_USER_TIMEOUT also ends connections
// to peers that acknowledge everything but keep their receive window closed. It returns nil,
// and leaves the user timeout, where the system does not count segments and acknowledgments.
func newTransmissionReader(c net.Conn) func() (transmission, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	replaced := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr != nil || info.Segs_out == 0 || info.Segs_in == 0 {
			return
		}
		// Earlier kernels lack the option and probe a closed window at doubling intervals.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, tcpRTOMax, int(maxProbeInterval.Milliseconds()))
		replaced = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0) == nil
	})
	if err != nil || !replaced {
		return nil
	}
	return func() (transmission, error) { return readTransmission(raw) }
}

// readTransmission reads TCP_INFO.
func readTransmission(raw syscall.RawConn) (transmission, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return transmission{}, err
	}
	if infoErr != nil {
		return transmission{}, infoErr
	}
	return transmission{
		inFlight: info.Unacked > 0, unsent: info.Notsent_bytes > 0,
		retransmits: int(info.Retransmits), unansweredProbes: int(info.Probes),
		sinceSent: time.Duration(info.Last_data_sent) * time.Millisecond,
		sinceAck:  time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}
