// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/protocol/wire"
)

// ProgressTimeout is how long a body may make no progress between two VMs.
const ProgressTimeout = 30 * time.Second

// ChunkWriter sends a body over a stream as Chunks.
type ChunkWriter struct {
	stream   *Stream
	throttle func(bytes int) error
}

// NewChunkWriter returns a writer to a stream. It calls throttle, if not nil, before each
// chunk.
func NewChunkWriter(s *Stream, throttle func(bytes int) error) *ChunkWriter {
	if throttle == nil {
		throttle = func(int) error { return nil }
	}
	return &ChunkWriter{stream: s, throttle: throttle}
}

// Write implements io.Writer.
func (w *ChunkWriter) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		part := p[sent:min(sent+wire.ChunkSize, len(p))]
		if err := w.throttle(len(part)); err != nil {
			return sent, err
		}
		w.stream.SetWriteDeadline(time.Now().Add(ProgressTimeout))
		if err := w.stream.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Chunk{Chunk: &peerpb.Chunk{Data: part}}}); err != nil {
			return sent, err
		}
		sent += len(part)
	}
	return sent, nil
}

// CopyBody copies a body in pieces of wire.ChunkSize and returns its length in bytes.
func CopyBody(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(onlyWriter{to}, from, make([]byte, wire.ChunkSize))
}

// onlyWriter hides ReadFrom, so that io.CopyBuffer copies in bounded chunks.
type onlyWriter struct{ io.Writer }

// EncodeHeader returns the wire messages for HTTP headers.
func EncodeHeader(h http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

// DecodeHeader returns the HTTP headers in wire messages.
func DecodeHeader(list []*peerpb.Header) http.Header {
	h := make(http.Header, len(list))
	for _, field := range list {
		h.Add(field.GetName(), string(field.GetValue()))
	}
	return h
}

// CheckRequestLine returns an error if a method, target or host of a peer could not stand
// in a request, or could change its meaning.
func CheckRequestLine(method, target, host string) error {
	if !validMethod(method) {
		return errors.Newf("method %q", method)
	}
	if u, err := url.ParseRequestURI(target); err != nil || !strings.HasPrefix(target, "/") || u.Host != "" || strings.ContainsAny(target, " \r\n") {
		return errors.Newf("target %q", target)
	}
	if strings.ContainsAny(host, " \r\n/") {
		return errors.Newf("host %q", host)
	}
	return nil
}

func validMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		return (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') && c != '-'
	}) < 0
}

// RequestBody reads a request body from a stream. Its read loop continues after
// the end of the body, to detect that the opener closes the stream.
type RequestBody struct {
	stream  *Stream
	cancel  context.CancelFunc
	reader  *io.PipeReader
	writer  *io.PipeWriter
	done    chan struct{}
	started bool
}

// NewRequestBody returns the body that a stream carries. It calls cancel once the opener
// has closed the stream.
func NewRequestBody(s *Stream, cancel context.CancelFunc) *RequestBody {
	r, w := io.Pipe()
	return &RequestBody{stream: s, cancel: cancel, reader: r, writer: w, done: make(chan struct{})}
}

// Start begins to read the stream.
func (b *RequestBody) Start() {
	b.started = true
	go b.readLoop()
}

// Stop ends the read loop. The stream cannot be read afterwards.
func (b *RequestBody) Stop() {
	_ = b.reader.CloseWithError(io.ErrClosedPipe)
	if b.started {
		b.stream.SetReadDeadline(time.Unix(1, 0))
		<-b.done
	}
}

// Read implements io.Reader.
func (b *RequestBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *RequestBody) readLoop() {
	defer close(b.done)
	for {
		e, err := b.stream.Read()
		if err != nil {
			// The body is incomplete without an End.
			_ = b.writer.CloseWithError(io.ErrUnexpectedEOF)
			b.cancel()
			return
		}
		switch k := e.GetKind().(type) {
		case *peerpb.Envelope_Chunk:
			if _, err := b.writer.Write(k.Chunk.GetData()); err != nil {
				continue // The body has no reader; wait for the end of the stream.
			}
		case *peerpb.Envelope_End:
			_ = b.writer.Close()
		default:
			_ = b.writer.CloseWithError(errors.Newf("unexpected message %T in a body", k))
		}
	}
}
