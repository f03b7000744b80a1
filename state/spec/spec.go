// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package spec defines the kinds of configuration object, decodes them from JSON
// and validates them.
//
// An Object is the envelope that the platform stores: kind, name, version, and the
// id of the operation that wrote it. The kinds are Fleet, Blocks, Service and
// Traffic. Decoding is strict: unknown fields, values out of range and oversized
// lists are errors that name the field. All errors of one object are reported
// together.
//
// # Usage
//
//	object, err := spec.DecodeObject(body)
//	value, err := object.Value()
//	switch v := value.(type) {
//	case *spec.Service: // ...
//	}
package spec

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"

	"github.com/cockroachdb/errors"
)

// MaxObjectBytes is the size limit of a stored object.
const MaxObjectBytes = 1 << 20

// Kind names a kind of object.
type Kind string

// Kinds of configuration object.
const (
	KindFleet   Kind = "fleet"
	KindBlocks  Kind = "blocks"
	KindService Kind = "service"
	KindTraffic Kind = "traffic"
)

// SingletonName is the object name of the kinds with a single instance, Fleet and
// Traffic.
const SingletonName = "main"

// ErrInvalidObject reports an object that cannot be decoded or fails validation.
var ErrInvalidObject = errors.New("spec: invalid object")

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether name is valid for a hall, service, VM or object: 1 to
// 63 lower-case letters, digits and inner hyphens.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is the stored envelope of a value.
type Object struct {
	Key
	// Version increases with every write to the platform, across all objects.
	Version uint64 `json:"version"`
	// Operation is the id that the writer gave to the write.
	Operation string `json:"operation,omitempty"`
	// Deleted marks a tombstone, through which a deletion is distributed like any
	// other change.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Value is one of the kinds: *Fleet, *Blocks, *Service or *Traffic.
type Value interface{ value() }

func (*Fleet) value()   {}
func (*Blocks) value()  {}
func (*Service) value() {}
func (*Traffic) value() {}

// DecodeObject decodes an envelope. It returns ErrInvalidObject for malformed JSON,
// unknown fields, an invalid key, or a body over MaxObjectBytes.
func DecodeObject(body []byte) (Object, error) {
	if len(body) > MaxObjectBytes {
		return Object{}, errors.Wrapf(ErrInvalidObject, "%d bytes, limit is %d", len(body), MaxObjectBytes)
	}
	var o Object
	if err := decodeStrict(body, &o); err != nil {
		return Object{}, err
	}
	if !ValidName(o.Name) || !ValidName(string(o.Kind)) {
		return Object{}, errors.Wrapf(ErrInvalidObject, "key %q: kind and name must be lower-case letters, digits and hyphens", o.Key)
	}
	return o, nil
}

// Value decodes and validates the object's spec. It returns ErrInvalidObject with
// the object's key and every invalid field.
func (o Object) Value() (Value, error) {
	var v interface {
		Value
		check(*violations)
	}
	switch o.Kind {
	case KindFleet:
		v = &Fleet{}
	case KindBlocks:
		v = &Blocks{}
	case KindService:
		v = &Service{Name: o.Name}
	case KindTraffic:
		v = &Traffic{}
	default:
		return nil, errors.Wrapf(ErrInvalidObject, "%s: unknown kind", o.Key)
	}
	if err := decodeStrict(o.Spec, v); err != nil {
		return nil, errors.Wrapf(err, "%s", o.Key)
	}
	var f violations
	if single := o.Kind == KindFleet || o.Kind == KindTraffic; single && o.Name != SingletonName {
		f.addf("name", "%q: the only %s is %q", o.Name, o.Kind, SingletonName)
	}
	v.check(&f)
	if err := f.err(); err != nil {
		return nil, errors.Wrapf(err, "%s", o.Key)
	}
	return v, nil
}

// Encode returns an object without a version that holds v. It panics if v cannot be
// encoded as JSON, which no kind allows.
func Encode(key Key, v Value) Object {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "spec: encode"))
	}
	return Object{Key: key, Spec: raw}
}

// Set is a list of objects in one configuration file.
type Set struct {
	Objects []Object `json:"objects"`
}

// DecodeSet decodes and validates a configuration file. It reports the errors of
// all objects together.
func DecodeSet(body []byte) (Set, error) {
	var s Set
	if err := decodeStrict(body, &s); err != nil {
		return Set{}, err
	}
	var combined error
	for _, o := range s.Objects {
		if !ValidName(o.Name) {
			combined = errors.CombineErrors(combined, errors.Wrapf(ErrInvalidObject, "%s: invalid name", o.Key))
			continue
		}
		if _, err := o.Value(); err != nil {
			combined = joinErrors(combined, err)
		}
	}
	return s, combined
}

func joinErrors(joined, err error) error {
	if joined == nil {
		return err
	}
	return errors.Newf("%v\n%v", joined, err)
}

func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrapf(ErrInvalidObject, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrInvalidObject, "more than one JSON value")
	}
	return nil
}
