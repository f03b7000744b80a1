// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/httpcheck"
)

// statusError is a request header that is answered with a status and ends the connection.
type statusError struct {
	status int
	reason string
}

// Error implements error.
func (e *statusError) Error() string { return "pipeline: " + e.reason }

func malformed(reason string) error {
	return &statusError{status: http.StatusBadRequest, reason: reason}
}

// headReaders holds readers for the parser of the standard library.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readHead reads the request line and the header fields up to the empty line behind them,
// and appends them to buf. The caller has seen that there are bytes to read.
func readHead(br *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	lineStart := 0
	for {
		part, err := br.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > limit {
			return buf, &statusError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too large"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return buf, err
		}
		line := buf[lineStart:]
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return buf, malformed("a line does not end with CRLF")
		}
		if len(line) == len("\r\n") {
			if lineStart > 0 {
				return buf, nil
			}
			buf = buf[:0] // RFC 9112, section 2.2: an empty line before the request line is ignored.
		}
		lineStart = len(buf)
	}
}

// parseHead parses what readHead has read. The request has no body yet.
func parseHead(head []byte) (*http.Request, error) {
	hosts, err := checkFields(head)
	if err != nil {
		return nil, err
	}
	br := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(br)
	br.Reset(bytes.NewReader(head))
	req, err := http.ReadRequest(br)
	br.Reset(nil)
	if err != nil {
		return nil, malformed(err.Error())
	}
	req.Body = http.NoBody
	if req.ProtoMajor != 1 {
		return nil, &statusError{status: http.StatusHTTPVersionNotSupported, reason: "the version is not supported"}
	}
	if req.ProtoAtLeast(1, 1) && (hosts == 0 || req.Host == "") && req.Method != http.MethodConnect {
		return nil, malformed("there is no host")
	}
	if strings.ContainsAny(req.Host, " \t/\\@?#\"<>") {
		return nil, malformed("the host is invalid")
	}
	return req, nil
}

// checkFields returns the number of hosts. It rejects what the standard library's parser
// accepts but servers interpret differently, and what only its server rejects.
func checkFields(head []byte) (hosts int, err error) {
	requestLine, fields, _ := bytes.Cut(bytes.TrimSuffix(head, []byte("\r\n")), []byte("\r\n"))
	lengths, encodings := 0, 0
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, err := checkField(line)
		if err != nil {
			return 0, err
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	switch {
	case !httpcheck.ValidValue(requestLine):
		return 0, malformed("the request line has a control character")
	case hosts > 1:
		return 0, malformed("there is more than one host")
	case encodings > 0 && bytes.HasSuffix(requestLine, []byte(" HTTP/1.0")):
		// The parser ignores the field, while others in front may not.
		return 0, malformed("HTTP/1.0 has no transfer encoding")
	case lengths > 1, encodings > 1, lengths > 0 && encodings > 0:
		return 0, malformed("the length of the body is ambiguous")
	}
	return hosts, nil
}

// checkField checks a line of a header or a trailer, and returns the name of the field.
func checkField(line []byte) (name []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpcheck.ValidName(name) {
		return nil, malformed("a field has no valid name")
	}
	if !httpcheck.ValidValue(value) {
		return nil, malformed("a field has a control character")
	}
	return name, nil
}

// maxTrailerBytes bounds the trailer of a chunked body, which is dropped.
const maxTrailerBytes = 4 << 10

// skipTrailer reads the trailer fields behind the last chunk.
func skipTrailer(br *bufio.Reader) error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := br.ReadSlice('\n')
		total += len(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return malformed("the trailer is too large")
		case err != nil:
			return unexpectedEOF(err)
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return malformed("a line of the trailer does not end with CRLF")
		case len(line) == len("\r\n"):
			return nil
		}
		if _, err := checkField(bytes.TrimSuffix(line, []byte("\r\n"))); err != nil {
			return err
		}
	}
	return malformed("the trailer is too large")
}

// unexpectedEOF replaces io.EOF, for bytes that must follow.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
