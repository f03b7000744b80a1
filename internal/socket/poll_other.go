// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

//go:build !linux

package socket

import "net"

// HungUp reports false, since this system isn't asked.
func HungUp(net.Conn) bool { return false }

// IsReadable reports false, since this system isn't asked.
func IsReadable(any) bool { return false }
