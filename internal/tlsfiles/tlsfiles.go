// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package tlsfiles makes TLS settings from files and reads them again when they
// change, so that certificates are renewed without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// recheck is how often the files' times are looked at, at most.
const recheck = time.Second

// Files names a certificate, its key and the certificates of those who sign
// the other side's, all PEM.
type Files struct {
	Cert, Key, CA string
}

// Set reports whether TLS is switched on.
func (f Files) Set() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// Reloader holds what the files hold. It is safe for concurrent use.
type Reloader struct {
	files Files

	mu      sync.Mutex
	looked  time.Time
	changed [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// New reads the files once. It returns an error that names the faulty file.
func New(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	return r, r.read()
}

func (r *Reloader) times() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (r *Reloader) read() error {
	times := r.times()
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return errors.Wrapf(err, "tls: certificate %q, key %q", r.files.Cert, r.files.Key)
	}
	var pool *x509.CertPool
	if r.files.CA != "" {
		pem, err := os.ReadFile(r.files.CA)
		if err != nil {
			return errors.Wrapf(err, "tls: CA %q", r.files.CA)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Newf("tls: CA %q holds no certificate", r.files.CA)
		}
	}
	r.cert, r.pool, r.changed = &cert, pool, times
	return nil
}

// current returns what the files hold now. Files that cannot be read, such as
// ones being written, leave what was read before in force.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.looked) > recheck {
		r.looked = now
		if r.times() != r.changed {
			_ = r.read()
		}
	}
	return r.cert, r.pool
}

// Server returns settings for a listener. With mutual, callers must show a
// certificate that the CA signed.
func (r *Reloader) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = pool
			}
			return cfg, nil
		},
	}
}

// PeerClient returns settings for connections to other VMs. These are named by
// IP number and known by the hello, so the certificate's chain is checked
// against the CA, not its names.
func (r *Reloader) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, // The chain is verified in VerifyConnection.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := r.current()
			return verifyChain(state, pool)
		},
	}
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("tls: peer shows no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: between,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "tls: peer's certificate")
}
