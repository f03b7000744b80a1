// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package entry is the listener for callers: look-ups and requests.
//
// GET /v1/lookup names the VMs that a client should use, in order of
// preference. Requests for a service go to /v1/run/SERVICE/PATH; the upstream
// sees /PATH. Answers of ryehill's own are JSON as package outcome defines.
//
// # Usage
//
//	handler := entry.New(entry.Config{Engine: engine, Lookup: lookup})
//	server := &http.Server{Handler: handler}
package entry

import (
	"io"
	"log"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/justinas/alice"

	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/transport/relay"
)

// RunPrefix begins the path of every request for a service.
const RunPrefix = "/v1/run/"

// HeaderTimeout is how a caller bounds the time to the head of the answer, as a
// duration such as "2s".
const HeaderTimeout = "Ryehill-Timeout"

// progressTime is how long a caller's body, or its reading of an answer, may
// stand still.
const progressTime = 30 * time.Second

// Config sets up the handler. Engine and Lookup are required.
type Config struct {
	Engine *relay.Engine
	Lookup *Lookup
	Log    logr.Logger
	// TrustedCallers may name a client in Ryehill-Client; for all others
	// the client is the address they call from.
	TrustedCallers []netip.Prefix
}

type handler struct {
	cfg Config
}

// New returns the handler for callers.
func New(cfg Config) http.Handler {
	h := &handler{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", h.lookup)
	mux.HandleFunc(RunPrefix+"{service}/", h.run)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		outcome.Write(w, outcome.New(outcome.CodeNotFound, outcome.NotRun, "find path", "", errors.New("no such path")))
	})
	return alice.New(h.recoverPanics).Then(mux)
}

// recoverPanics keeps a fault in one request from ending the process. An abort
// that is meant goes on to net/http, which breaks the connection off.
func (h *handler) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			if err, ok := fault.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				h.cfg.Log.Error(errors.Newf("%v", fault), "entry: request failed", "path", r.URL.Path)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (h *handler) client(r *http.Request) (netip.Addr, error) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, errors.Wrap(err, "remote address")
	}
	address := from.Addr().Unmap()
	named := r.Header.Get(outcome.HeaderClient)
	if named == "" || !h.trusted(address) {
		return address, nil
	}
	client, err := netip.ParseAddr(named)
	return client.Unmap(), errors.Wrap(err, outcome.HeaderClient)
}

func (h *handler) trusted(address netip.Addr) bool {
	for _, p := range h.cfg.TrustedCallers {
		if p.Contains(address) {
			return true
		}
	}
	return false
}

func (h *handler) lookup(w http.ResponseWriter, r *http.Request) {
	client, err := h.client(r)
	if text := r.FormValue("client"); text != "" && err == nil {
		client, err = netip.ParseAddr(text)
	}
	if err != nil {
		outcome.Write(w, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "read client", "", err))
		return
	}
	answer, failure := h.cfg.Lookup.Find(r.Context(), r.FormValue("service"), client.Unmap())
	if failure != nil {
		outcome.Write(w, failure)
		return
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(answer.TTLMillis/1000)))
	outcome.WriteJSON(w, http.StatusOK, answer)
}

func (h *handler) run(w http.ResponseWriter, r *http.Request) {
	id := h.cfg.Engine.NextID()
	w.Header().Set(outcome.HeaderDecision, id)
	control := http.NewResponseController(w)
	// Without this, net/http reads the rest of a body before it sends an
	// early answer, and an upstream could not stop an upload that it refuses.
	_ = control.EnableFullDuplex()
	req, failure := h.request(r, control)
	if failure != nil {
		outcome.Write(w, h.cfg.Engine.Refuse(r.Header.Get(outcome.HeaderTicket), failure))
		return
	}
	sink := &sink{w: w, control: control}
	failure = h.cfg.Engine.Serve(r.Context(), id, req, sink)
	switch {
	case failure == nil:
		return
	case sink.headSent:
		// The answer broke off: the caller must see that.
		panic(http.ErrAbortHandler)
	}
	h.refuse(w, r, req, failure)
}

func (h *handler) refuse(w http.ResponseWriter, r *http.Request, req *relay.Request, f *outcome.Failure) {
	if f.Run() == outcome.NotRun && req.Ticket != "" {
		// The ticket is used up by the refusal; the caller gets a new one.
		if answer, failure := h.cfg.Lookup.Find(r.Context(), req.Service, req.Client); failure == nil {
			w.Header().Set(outcome.HeaderTicket, answer.Ticket)
		}
	}
	if f.Code() == outcome.CodeStopping {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(progressTime))
	outcome.Write(w, f)
}

func (h *handler) request(r *http.Request, control *http.ResponseController) (*relay.Request, *outcome.Failure) {
	bad := func(step string, err error) (*relay.Request, *outcome.Failure) {
		return nil, outcome.New(outcome.CodeBadRequest, outcome.NotRun, step, "", err)
	}
	client, err := h.client(r)
	if err != nil {
		return bad("read client", err)
	}
	var timeout time.Duration
	if text := r.Header.Get(HeaderTimeout); text != "" {
		if timeout, err = time.ParseDuration(text); err != nil || timeout <= 0 {
			return bad("read timeout", errors.Newf("%s: %q is no duration above 0", HeaderTimeout, text))
		}
	}
	service := r.PathValue("service")
	target := strings.TrimPrefix(r.URL.EscapedPath(), RunPrefix+service)
	if target == r.URL.EscapedPath() || !strings.HasPrefix(target, "/") {
		return bad("read path", errors.New("want "+RunPrefix+"SERVICE/PATH"))
	}
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	body, err := relay.NewBody(&progressReader{in: r.Body, control: control}, r.ContentLength)
	if err != nil {
		return bad("read body", err)
	}
	return &relay.Request{
		Service: service, Method: r.Method, Target: target, Host: r.Host,
		Header: relay.CleanHeader(r.Header), Body: body, Client: client,
		Ticket: r.Header.Get(outcome.HeaderTicket), Timeout: timeout,
	}, nil
}

// progressReader lets a body take as long as it likes, as long as it moves.
type progressReader struct {
	in      io.Reader
	control *http.ResponseController
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(progressTime))
	n, err := p.in.Read(b)
	if err != nil {
		_ = p.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// sink passes an answer to the caller.
type sink struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	headSent bool
	length   int64
}

// Head implements relay.Sink.
func (s *sink) Head(status int, header http.Header, length int64) error {
	s.headSent = true
	s.length = length
	out := s.w.Header()
	for name, values := range header {
		out[name] = values
	}
	out.Set(outcome.HeaderOutcome, string(outcome.Ran))
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(progressTime))
	s.w.WriteHeader(status)
	return nil
}

// Write implements io.Writer.
func (s *sink) Write(p []byte) (int, error) {
	_ = s.control.SetWriteDeadline(time.Now().Add(progressTime))
	n, err := s.w.Write(p)
	if err == nil && s.length < 0 {
		err = s.control.Flush() // A body of unknown length may be a stream.
	}
	return n, err
}

// Server returns an HTTP server for callers with bounded headers and no bound
// on how long a body that moves may take.
func Server(handler http.Handler) *http.Server {
	const maxHeader = 32 << 10
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}
