// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package wire frames the messages of a peer stream.
//
// A frame is an Envelope preceded by its length as a varint. An oversized or
// malformed frame makes Read return an error, after which the stream cannot be
// used.
//
// # Usage
//
//	w := wire.NewWriter(stream)
//	err := w.Write(&peerpb.Envelope{...})
//	r := wire.NewReader(stream)
//	envelope, err := r.Read()
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/ryehill/ryehill/protocol/peerpb"
)

const (
	// Version is the protocol version sent in a Hello.
	Version = 1
	// MaxFrame limits the size of a frame in bytes. It allows for the platform's
	// largest object, 1 MiB, and its envelope.
	MaxFrame = 1<<20 + 64<<10
	// ChunkSize is the maximum size of the body data in a frame, in bytes.
	ChunkSize = 32 << 10

	readBufferSize = 4 << 10
)

// ErrInvalidFrame reports an oversized or malformed frame.
var ErrInvalidFrame = errors.New("wire: invalid frame")

// Writer writes frames. It is not safe for concurrent use.
type Writer struct {
	out    io.Writer
	buffer []byte
}

// NewWriter returns a writer of frames to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write writes one frame with a single call to the stream's Write. It returns
// ErrInvalidFrame for an oversized message, or the stream's error.
func (w *Writer) Write(e *peerpb.Envelope) error {
	size := proto.Size(e)
	if size > MaxFrame {
		return errors.Wrapf(ErrInvalidFrame, "message of %d bytes, limit is %d", size, MaxFrame)
	}
	w.buffer = protowire.AppendVarint(w.buffer[:0], uint64(size))
	framed, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buffer, e)
	if err != nil {
		return errors.Wrap(ErrInvalidFrame, err.Error())
	}
	w.buffer = framed
	if cap(w.buffer) > 2*ChunkSize {
		defer func() { w.buffer = nil }()
	}
	_, err = w.out.Write(framed)
	return err
}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a reader of frames from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferSize)} }

// Read reads one frame. It returns io.EOF if the stream ended between frames,
// io.ErrUnexpectedEOF if it ended within one, ErrInvalidFrame for an oversized or
// malformed frame, or the stream's error.
func (r *Reader) Read() (*peerpb.Envelope, error) {
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, err
	}
	if size > MaxFrame {
		return nil, errors.Wrapf(ErrInvalidFrame, "announced length of %d bytes, limit is %d", size, MaxFrame)
	}
	body, err := readBody(r.in, int(size))
	if err != nil {
		return nil, err
	}
	e := &peerpb.Envelope{}
	if err := proto.Unmarshal(body, e); err != nil {
		return nil, errors.Wrap(ErrInvalidFrame, err.Error())
	}
	if e.Kind == nil {
		return nil, errors.Wrap(ErrInvalidFrame, "unknown message kind")
	}
	return e, nil
}

// readBody grows its buffer as data arrives, so that a large announced length alone
// does not allocate memory.
func readBody(in io.Reader, size int) ([]byte, error) {
	const maxPreallocated = 64 << 10
	if size <= maxPreallocated {
		body := make([]byte, size)
		_, err := io.ReadFull(in, body)
		return body, unexpectedEOF(err)
	}
	body, err := io.ReadAll(io.LimitReader(in, int64(size)))
	if err == nil && len(body) < size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// maxUnbufferedFrame limits the size of a frame read by ReadUnbuffered, in bytes.
const maxUnbufferedFrame = 4 << 10

// ReadUnbuffered reads one small frame without reading beyond its end.
func ReadUnbuffered(in io.Reader) (*peerpb.Envelope, error) {
	size, err := binary.ReadUvarint(byteReader{in})
	if err != nil {
		return nil, err
	}
	if size > maxUnbufferedFrame {
		return nil, errors.Wrapf(ErrInvalidFrame, "announced length of %d bytes, limit is %d", size, maxUnbufferedFrame)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	e := &peerpb.Envelope{}
	return e, errors.Wrap(proto.Unmarshal(body, e), "wire: decode frame")
}

type byteReader struct{ in io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(r.in, one[:])
	return one[0], err
}
