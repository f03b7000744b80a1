// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package entry is the HTTP API for callers: lookups and requests.
//
// GET /v1/lookup returns the VMs that a client should use, in order of
// preference. Requests for a service go to /v1/run/SERVICE/PATH; the upstream
// sees /PATH. Responses of ryehill itself are JSON as package outcome defines.
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

// RunPrefix is the path prefix of requests for a service.
const RunPrefix = "/v1/run/"

// HeaderTimeout is the header in which a caller limits the time to the response
// head, as a duration such as "2s".
const HeaderTimeout = "Ryehill-Timeout"

// progressTimeout is how long a caller may make no progress in sending its body
// or reading the response.
const progressTimeout = 30 * time.Second

// Config configures the handler. Engine and Lookup are required.
type Config struct {
	Engine *relay.Engine
	Lookup *Lookup
	Log    logr.Logger
	// TrustedCallers may set the client in Ryehill-Client; for all other
	// callers the client is their remote address.
	TrustedCallers []netip.Prefix
}

type handler struct {
	cfg Config
}

// New returns the HTTP handler for callers.
func New(cfg Config) http.Handler {
	h := &handler{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", h.serveLookup)
	mux.HandleFunc(RunPrefix+"{service}/", h.serveRequest)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		outcome.Write(w, outcome.New(outcome.CodeNotFound, outcome.NotRun, "find path", "", errors.New("no such path")))
	})
	return alice.New(h.recoverPanics).Then(mux)
}

// recoverPanics logs a panic in a request and aborts its connection.
// http.ErrAbortHandler is passed to net/http without a log line.
func (h *handler) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				h.cfg.Log.Error(errors.Newf("%v", recovered), "entry: request failed", "path", r.URL.Path)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (h *handler) clientAddress(r *http.Request) (netip.Addr, error) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, errors.Wrap(err, "remote address")
	}
	address := from.Addr().Unmap()
	header := r.Header.Get(outcome.HeaderClient)
	if header == "" || !h.trusted(address) {
		return address, nil
	}
	client, err := netip.ParseAddr(header)
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

func (h *handler) serveLookup(w http.ResponseWriter, r *http.Request) {
	client, err := h.clientAddress(r)
	if text := r.FormValue("client"); text != "" && err == nil {
		client, err = netip.ParseAddr(text)
	}
	if err != nil {
		outcome.Write(w, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "read client", "", err))
		return
	}
	response, failure := h.cfg.Lookup.Resolve(r.Context(), r.FormValue("service"), client.Unmap())
	if failure != nil {
		outcome.Write(w, failure)
		return
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(response.TTLMillis/1000)))
	outcome.WriteJSON(w, http.StatusOK, response)
}

func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := h.cfg.Engine.NextID()
	w.Header().Set(outcome.HeaderDecision, id)
	controller := http.NewResponseController(w)
	// Without full duplex, net/http reads the rest of the body before it sends
	// an early response, and an upstream could not reject an upload early.
	_ = controller.EnableFullDuplex()
	req, failure := h.parseRequest(r, controller)
	if failure != nil {
		outcome.Write(w, h.cfg.Engine.RefuseWithTicket(r.Header.Get(outcome.HeaderTicket), failure))
		return
	}
	sink := &responseSink{w: w, controller: controller}
	failure = h.cfg.Engine.Serve(r.Context(), id, req, sink)
	switch {
	case failure == nil:
		return
	case sink.headSent:
		// Abort the connection, so that the caller sees an incomplete response.
		panic(http.ErrAbortHandler)
	}
	h.writeFailure(w, r, req, failure)
}

func (h *handler) writeFailure(w http.ResponseWriter, r *http.Request, req *relay.Request, f *outcome.Failure) {
	if f.Run() == outcome.NotRun && req.Ticket != "" {
		// The refusal has used up the ticket, so the caller gets a new one.
		if response, failure := h.cfg.Lookup.Resolve(r.Context(), req.Service, req.Client); failure == nil {
			w.Header().Set(outcome.HeaderTicket, response.Ticket)
		}
	}
	if f.Code() == outcome.CodeStopping {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(progressTimeout))
	outcome.Write(w, f)
}

func (h *handler) parseRequest(r *http.Request, controller *http.ResponseController) (*relay.Request, *outcome.Failure) {
	badRequest := func(step string, err error) (*relay.Request, *outcome.Failure) {
		return nil, outcome.New(outcome.CodeBadRequest, outcome.NotRun, step, "", err)
	}
	client, err := h.clientAddress(r)
	if err != nil {
		return badRequest("read client", err)
	}
	var timeout time.Duration
	if text := r.Header.Get(HeaderTimeout); text != "" {
		if timeout, err = time.ParseDuration(text); err != nil || timeout <= 0 {
			return badRequest("read timeout", errors.Newf("%s: %q is no duration above 0", HeaderTimeout, text))
		}
	}
	service := r.PathValue("service")
	target := strings.TrimPrefix(r.URL.EscapedPath(), RunPrefix+service)
	if target == r.URL.EscapedPath() || !strings.HasPrefix(target, "/") {
		return badRequest("read path", errors.New("want "+RunPrefix+"SERVICE/PATH"))
	}
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	body, err := relay.NewBody(&progressReader{in: r.Body, controller: controller}, r.ContentLength)
	if err != nil {
		return badRequest("read body", err)
	}
	return &relay.Request{
		Service: service, Method: r.Method, Target: target, Host: r.Host,
		Header: relay.EndToEndHeader(r.Header), Body: body, Client: client,
		Ticket: r.Header.Get(outcome.HeaderTicket), Timeout: timeout,
	}, nil
}

// progressReader reads a body of any duration, but fails if it makes no progress
// for progressTimeout.
type progressReader struct {
	in         io.Reader
	controller *http.ResponseController
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	_ = p.controller.SetReadDeadline(time.Now().Add(progressTimeout))
	n, err := p.in.Read(b)
	if err != nil {
		_ = p.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// responseSink writes a response to the caller.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	headSent   bool
	length     int64
}

// Head implements relay.Sink.
func (s *responseSink) Head(status int, header http.Header, length int64) error {
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
	_ = s.controller.SetWriteDeadline(time.Now().Add(progressTimeout))
	s.w.WriteHeader(status)
	return nil
}

// Write implements io.Writer.
func (s *responseSink) Write(p []byte) (int, error) {
	_ = s.controller.SetWriteDeadline(time.Now().Add(progressTimeout))
	n, err := s.w.Write(p)
	if err == nil && s.length < 0 {
		err = s.controller.Flush() // A body of unknown length may be a stream of events.
	}
	return n, err
}

// NewServer returns an HTTP server for callers. It limits the size of headers and
// the time to read them, but not the time of a body that makes progress.
func NewServer(handler http.Handler) *http.Server {
	const maxHeader = 32 << 10
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}
