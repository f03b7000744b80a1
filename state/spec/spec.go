// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package spec defines ryehill's kinds of configuration object, reads them from
// JSON and checks them.
//
// An Object is the envelope under which the platform holds a value: its kind
// and name, the platform's version, and the id of the operation that wrote it.
// The kinds are Fleet, Blocks, Service and Traffic. Reading is strict: unknown
// fields, values out of range and oversized lists are errors that name the
// field, and all faults of one object are reported together.
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

// MaxObjectBytes is the largest object the platform holds.
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

// MainName is the name of the kinds that exist once: Fleet and Traffic.
const MainName = "main"

// ErrObject reports an object that cannot be read or fails its checks.
var ErrObject = errors.New("spec: bad object")

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a name of a hall, service, VM or object is valid:
// 1 to 63 lower-case letters, digits and inner hyphens.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is the envelope of a value on the platform.
type Object struct {
	Key
	// Version rises with every write on the platform, across all objects.
	Version uint64 `json:"version"`
	// Operation is the id that the writer gave to the write.
	Operation string `json:"operation,omitempty"`
	// Deleted marks what is left of an object that was deleted, so that the
	// deletion spreads like any other change.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Value is one of the kinds: *Fleet, *Blocks, *Service or *Traffic.
type Value interface{ value() }

func (*Fleet) value()   {}
func (*Blocks) value()  {}
func (*Service) value() {}
func (*Traffic) value() {}

// DecodeObject reads an envelope. It returns ErrObject for malformed JSON,
// unknown fields, a bad key, or more than MaxObjectBytes.
func DecodeObject(body []byte) (Object, error) {
	if len(body) > MaxObjectBytes {
		return Object{}, errors.Wrapf(ErrObject, "%d bytes, at most %d", len(body), MaxObjectBytes)
	}
	var o Object
	if err := strict(body, &o); err != nil {
		return Object{}, err
	}
	if !ValidName(o.Name) || !ValidName(string(o.Kind)) {
		return Object{}, errors.Wrapf(ErrObject, "key %q: want kind and name of lower-case letters, digits and hyphens", o.Key)
	}
	return o, nil
}

// Value decodes and checks the object's spec.
// It returns ErrObject, naming the object and every faulty field.
func (o Object) Value() (Value, error) {
	var v interface {
		Value
		check(*faults)
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
		return nil, errors.Wrapf(ErrObject, "%s: unknown kind", o.Key)
	}
	if err := strict(o.Spec, v); err != nil {
		return nil, errors.Wrapf(err, "%s", o.Key)
	}
	var f faults
	if single := o.Kind == KindFleet || o.Kind == KindTraffic; single && o.Name != MainName {
		f.add("name", "%q: the only %s is %q", o.Name, o.Kind, MainName)
	}
	v.check(&f)
	if err := f.err(); err != nil {
		return nil, errors.Wrapf(err, "%s", o.Key)
	}
	return v, nil
}

// Encode returns an object without a version for a value.
// It panics if the value cannot be written as JSON, which no kind allows.
func Encode(key Key, v Value) Object {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "spec: encode"))
	}
	return Object{Key: key, Spec: raw}
}

// Set is a list of objects as an operator writes them into one file.
type Set struct {
	Objects []Object `json:"objects"`
}

// DecodeSet reads and checks a whole file. All faults are reported together.
func DecodeSet(body []byte) (Set, error) {
	var s Set
	if err := strict(body, &s); err != nil {
		return Set{}, err
	}
	var all error
	for _, o := range s.Objects {
		if !ValidName(o.Name) {
			all = errors.CombineErrors(all, errors.Wrapf(ErrObject, "%s: bad name", o.Key))
			continue
		}
		if _, err := o.Value(); err != nil {
			all = joinErrors(all, err)
		}
	}
	return s, all
}

func joinErrors(all, err error) error {
	if all == nil {
		return err
	}
	return errors.Newf("%v\n%v", all, err)
}

func strict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrapf(ErrObject, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrObject, "more than one JSON value")
	}
	return nil
}
