// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package httpcheck checks what net/http accepts in HTTP/1.1 responses though RFC 9110 and RFC 9112 do
// not allow it. A client that passes a response on, or acts on its header, checks it first.
//
// # Usage
//
//	res, err := http.ReadResponse(reader, req)
//	if err == nil {
//		err = httpcheck.Head(res)
//	}
package httpcheck

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports a message that is no valid response.
var ErrMalformed = errors.New("malformed response")

const (
	httpMajor = 1
	// maxStatus is the highest valid status (RFC 9110, section 15).
	maxStatus = 599
)

// Head returns an error that is ErrMalformed if the header of a response, informational or final, is
// invalid. A 101 is: no request of this program asks for another protocol.
func Head(res *http.Response) error {
	switch {
	case res.ProtoMajor != httpMajor:
		return errors.Wrapf(ErrMalformed, "version %.20q", res.Proto)
	case res.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrMalformed, "status %d was not asked for", res.StatusCode)
	case res.StatusCode < http.StatusContinue || res.StatusCode >= http.StatusOK:
		if err := Status(res.StatusCode); err != nil {
			return err
		}
	}
	return Fields(res.Header)
}

// Status returns an error that is ErrMalformed unless a status is that of a final response, from 200 to
// 599.
func Status(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// Fields returns an error that is ErrMalformed unless the names and values of all fields of a header or
// a trailer are valid. A parser that takes "Content-Length :" for another name reads a wrong body.
func Fields(h http.Header) error {
	for name, values := range h {
		if !ValidName(name) {
			return errors.Wrapf(ErrMalformed, "field name %.40q", name)
		}
		for _, value := range values {
			if !ValidValue(value) {
				return errors.Wrapf(ErrMalformed, "value of %.40s: %.40q", name, value)
			}
		}
	}
	return nil
}

// ValidName reports whether the name of a field is a token (RFC 9110, section 5.6.2).
func ValidName[T ~string | ~[]byte](name T) bool {
	for i := range len(name) {
		b := name[i]
		letter := b|0x20 >= 'a' && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// ValidValue reports whether the value of a field has no control characters but tabs.
func ValidValue[T ~string | ~[]byte](value T) bool {
	const del = 0x7f
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}
