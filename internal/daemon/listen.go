// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"crypto/tls"
	"net"

	"github.com/ryehill/ryehill/internal/tlsfiles"
)

func listenTCP(address string, files tlsfiles.Files) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || !files.Set() {
		return l, err
	}
	reloader, err := tlsfiles.New(files)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return tls.NewListener(l, reloader.Server(files.CA != "")), nil
}
