// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/ryehill/ryehill/internal/tlsfiles"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/transport/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers a Find with a Found whose record is the requested id.
func echo(_ context.Context, _ peer.Identity, s *peer.Stream, first *peerpb.Envelope) {
	_ = s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Found{Found: &peerpb.Found{Record: []byte(first.GetFind().GetId())}}})
}

// startManager runs a manager on a free port and returns it with its address.
func startManager(t *testing.T, vm, fleet string, files tlsfiles.Files) (*peer.Manager, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveManager(t, l, vm, fleet, files), l.Addr().String()
}

// startManagerAt runs a manager on the given address.
func startManagerAt(t *testing.T, address, vm, fleet string, files tlsfiles.Files) *peer.Manager {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return serveManager(t, l, vm, fleet, files)
}

func serveManager(t *testing.T, l net.Listener, vm, fleet string, files tlsfiles.Files) *peer.Manager {
	t.Helper()
	cfg := peer.Config{Self: peer.Identity{Fleet: fleet, Hall: "a", VM: vm, Start: 1}, Handler: echo}
	if files.Set() {
		reloader, err := tlsfiles.New(files)
		if err != nil {
			t.Fatal(err)
		}
		cfg.ServerTLS, cfg.ClientTLS = reloader.Server(true), reloader.PeerClient()
	}
	m := peer.New(cfg)
	done := make(chan error, 1)
	go func() { done <- m.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		m.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

func callFind(m *peer.Manager, vm, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := m.Call(ctx, peer.Target{VM: vm, Address: address}, &peerpb.Envelope{Kind: &peerpb.Envelope_Find{Find: &peerpb.Find{Id: "d1"}}})
	return string(reply.GetFound().GetRecord()), err
}

func TestHello(t *testing.T) {
	cases := map[string]struct {
		fleet, meant string
		ok           bool
	}{
		"the VM that was meant": {"f", "b1", true},
		"another VM":            {"f", "b2", false},
		"another fleet":         {"g", "b1", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, _ := startManager(t, "a1", "f", tlsfiles.Files{})
			_, address := startManager(t, "b1", c.fleet, tlsfiles.Files{})
			got, err := callFind(a, c.meant, address)
			if c.ok != (err == nil && got == "d1") {
				t.Fatalf("%q, %v", got, err)
			}
			if err != nil && !errors.Is(err, peer.ErrUnreachable) {
				t.Fatalf("error %v, want ErrUnreachable", err)
			}
		})
	}
}

// testCA is a certificate authority with its files in a temporary directory.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T, name string) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = a.newKey()
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	a.write("ca.pem", "CERTIFICATE", raw)
	return a
}

func (a *testCA) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *testCA) write(name, kind string, raw []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate and key, and replaces earlier ones of the same name.
func (a *testCA) issue(name string) tlsfiles.Files {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return tlsfiles.Files{
		Cert: a.write(name+".pem", "CERTIFICATE", raw), Key: a.write(name+".key", "EC PRIVATE KEY", private),
		CA: filepath.Join(a.dir, "ca.pem"),
	}
}

// Guards against accepting peers whose certificate the fleet's CA did not sign.
func TestMutualTLS(t *testing.T) {
	own, other := newTestCA(t, "own"), newTestCA(t, "other")
	_, address := startManager(t, "b1", "f", own.issue("b1"))
	cases := map[string]struct {
		files tlsfiles.Files
		ok    bool
	}{
		"signed by the fleet's CA": {own.issue("a1"), true},
		"signed by another CA":     {other.issue("a1"), false},
		"no TLS":                   {tlsfiles.Files{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, _ := startManager(t, "a1", "f", c.files)
			if got, err := callFind(a, "b1", address); c.ok != (err == nil && got == "d1") {
				t.Fatalf("%q, %v", got, err)
			}
		})
	}
}

// Guards against needing a restart for a new certificate, and against losing the old one while files are half written.
func TestCertificateReload(t *testing.T) {
	old, renewed := newTestCA(t, "old"), newTestCA(t, "renewed")
	files := old.issue("b1")
	_, address := startManager(t, "b1", "f", files)
	if err := os.WriteFile(files.Key, []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	a, _ := startManager(t, "a1", "f", old.issue("a1"))
	if _, err := callFind(a, "b1", address); err != nil {
		t.Fatal(err)
	}
	next := renewed.issue("b1")
	for from, to := range map[string]string{next.Cert: files.Cert, next.Key: files.Key, next.CA: files.CA} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	c, _ := startManager(t, "c1", "f", tlsfiles.Files{Cert: files.Cert, Key: files.Key, CA: files.CA})
	deadline := time.Now().Add(10 * time.Second)
	for {
		if _, err := callFind(c, "b1", address); err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the renewed certificate is not used")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against delaying the dial of a peer that has opened a session itself since the failures.
func TestPeerThatGreetsIsReachedAtOnce(t *testing.T) {
	a, addressA := startManager(t, "a1", "f", tlsfiles.Files{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addressB := l.Addr().String()
	_ = l.Close()

	// The delay after this many failures outlasts the rest of the test.
	const failures = 6
	for dials := 0; dials < failures; time.Sleep(10 * time.Millisecond) {
		_, err := callFind(a, "b1", addressB)
		if err == nil {
			t.Fatal("call to a closed address succeeded")
		}
		if !errors.Is(err, peer.ErrBackoff) {
			dials++
		}
	}
	b := startManagerAt(t, addressB, "b1", "f", tlsfiles.Files{})
	if _, err := callFind(b, "a1", addressA); err != nil {
		t.Fatal(err)
	}
	if _, err := callFind(a, "b1", addressB); err != nil {
		t.Errorf("call after the peer's own session: %v", err)
	}
}

// Guards against a connection that is accepted while the manager closes.
func TestCloseDuringAccept(t *testing.T) {
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := peer.New(peer.Config{})
		served := make(chan error, 1)
		go func() { served <- m.Serve(l) }()
		dialed := make(chan struct{})
		go func() {
			defer close(dialed)
			if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
				_ = conn.Close()
			}
		}()
		m.Close()
		_ = l.Close()
		if err := <-served; err != nil {
			t.Fatal(err)
		}
		<-dialed
	}
}

// exhaustedListener fails to accept connections for a while, as for want of descriptors.
type exhaustedListener struct {
	net.Listener
	code     syscall.Errno
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.code)}
	}
	return l.Listener.Accept()
}

// Guards against a VM that ends, or stays unreachable, once it had no descriptors left.
func TestAcceptContinuesAfterExhaustion(t *testing.T) {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(code.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &exhaustedListener{Listener: inner, code: code}
			l.failures.Store(4)
			serveManager(t, l, "v1", "main", tlsfiles.Files{})
			caller := peer.New(peer.Config{Self: peer.Identity{Fleet: "main", Hall: "a", VM: "v2", Start: 1}, Handler: echo})
			defer caller.Close()
			if got, err := callFind(caller, "v1", inner.Addr().String()); err != nil || got != "d1" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
