// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package wire frames the messages of a peer stream.
//
// A frame is a length as a varint and an Envelope of that length. Frames are
// bounded; a longer one, or one that does not parse, ends the stream with an
// error and changes nothing else.
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
	// Version is the version of the protocol that a Hello names.
	Version = 1
	// MaxFrame bounds a frame, in bytes. It holds the largest object of the
	// platform, which is 1 MiB, and its envelope.
	MaxFrame = 1<<20 + 64<<10
	// ChunkSize is how much of a body one frame carries, in bytes.
	ChunkSize = 32 << 10

	readBuffer = 4 << 10
)

// ErrFrame reports a frame that is too long or does not parse.
var ErrFrame = errors.New("wire: bad frame")

// Writer writes frames. It is not safe for concurrent use.
type Writer struct {
	out    io.Writer
	buffer []byte
}

// NewWriter returns a writer to a stream.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write writes one frame with a single call to the stream. It returns ErrFrame
// for a message that is too long, or the stream's error.
func (w *Writer) Write(e *peerpb.Envelope) error {
	size := proto.Size(e)
	if size > MaxFrame {
		return errors.Wrapf(ErrFrame, "%d bytes to write, at most %d", size, MaxFrame)
	}
	w.buffer = protowire.AppendVarint(w.buffer[:0], uint64(size))
	framed, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buffer, e)
	if err != nil {
		return errors.Wrap(ErrFrame, err.Error())
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

// NewReader returns a reader from a stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBuffer)} }

// Read reads one frame. It returns io.EOF if the stream ended between frames,
// io.ErrUnexpectedEOF if it ended within one, ErrFrame for a bad frame, or the
// stream's error.
func (r *Reader) Read() (*peerpb.Envelope, error) {
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, err
	}
	if size > MaxFrame {
		return nil, errors.Wrapf(ErrFrame, "%d bytes announced, at most %d", size, MaxFrame)
	}
	body, err := readBody(r.in, int(size))
	if err != nil {
		return nil, err
	}
	e := &peerpb.Envelope{}
	if err := proto.Unmarshal(body, e); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	if e.Kind == nil {
		return nil, errors.Wrap(ErrFrame, "message of an unknown kind")
	}
	return e, nil
}

// readBody grows its buffer with what arrives, so that a length alone cannot
// make the receiver set aside a megabyte.
func readBody(in io.Reader, size int) ([]byte, error) {
	const first = 64 << 10
	if size <= first {
		body := make([]byte, size)
		_, err := io.ReadFull(in, body)
		return body, unexpected(err)
	}
	body, err := io.ReadAll(io.LimitReader(in, int64(size)))
	if err == nil && len(body) < size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// maxHello bounds a frame that is read without a buffer.
const maxHello = 4 << 10

// ReadUnbuffered reads one small frame and not a byte beyond it.
func ReadUnbuffered(in io.Reader) (*peerpb.Envelope, error) {
	size, err := binary.ReadUvarint(byteReader{in})
	if err != nil {
		return nil, err
	}
	if size > maxHello {
		return nil, errors.Wrapf(ErrFrame, "%d bytes announced, at most %d", size, maxHello)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, unexpected(err)
	}
	e := &peerpb.Envelope{}
	return e, errors.Wrap(proto.Unmarshal(body, e), "wire: hello")
}

type byteReader struct{ in io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(r.in, one[:])
	return one[0], err
}
