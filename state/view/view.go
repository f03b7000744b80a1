// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package view compiles configuration objects into an immutable snapshot for
// lookups and requests.
//
// # Usage
//
//	v, err := view.Compile(generation, objects, previous)
//	hall, ok := v.Home(client)
//	moves := v.Moves("lookup", hall)
package view

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/steering"
)

// View is the configuration of one generation. It is immutable after Compile and
// safe for concurrent use.
type View struct {
	generation uint64
	fleet      *spec.Fleet
	services   map[string]*spec.Service
	traffic    *spec.Traffic
	table      *steering.Table
	moves      map[moveKey][]*spec.Move
	leaving    map[string]bool
	parts      map[string]blockPart // by the name of the blocks object
}

// blockPart holds the blocks of one version of an object.
type blockPart struct {
	version uint64
	blocks  *steering.Part
}

type moveKey struct{ service, hall string }

// Empty returns a view with no halls, blocks or services.
func Empty() *View {
	return &View{fleet: &spec.Fleet{}, traffic: &spec.Traffic{}, table: &steering.Table{}}
}

// Compile builds a view from all objects that a process holds. Invalid objects are
// skipped and reported in the error, but the view is always usable, so that the
// process keeps serving. If no blocks object changed, the steering table of the
// previous view, which may be nil, is reused.
func Compile(generation uint64, objects []spec.Object, previous *View) (*View, error) {
	v := Empty()
	v.generation = generation
	v.services = make(map[string]*spec.Service)
	var faulty []string
	var blocks []spec.Object
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		if o.Kind == spec.KindBlocks {
			blocks = append(blocks, o)
			continue
		}
		value, err := o.Value()
		if err != nil {
			faulty = append(faulty, err.Error())
			continue
		}
		v.addValue(value)
	}
	faulty = append(faulty, v.compileBlocks(blocks, previous)...)
	v.indexTraffic()
	if len(faulty) > 0 {
		return v, errors.Newf("view: compile generation %d: %s", generation, strings.Join(faulty, "; "))
	}
	return v, nil
}

func (v *View) addValue(value spec.Value) {
	switch value := value.(type) {
	case *spec.Fleet:
		v.fleet = value
	case *spec.Service:
		v.services[value.Name] = value
	case *spec.Traffic:
		v.traffic = value
	case *spec.Blocks:
		// compileBlocks handles all blocks objects together.
	}
}

// compileBlocks merges the blocks objects in the order of their names, so that the
// order of arrival does not matter. Unchanged objects are not decoded again, and
// the table is rebuilt only if an object changed.
func (v *View) compileBlocks(objects []spec.Object, previous *View) []string {
	slices.SortFunc(objects, func(a, b spec.Object) int { return strings.Compare(a.Name, b.Name) })
	var faulty []string
	v.parts = make(map[string]blockPart, len(objects))
	parts := make([]*steering.Part, 0, len(objects))
	same := previous != nil && len(previous.parts) == len(objects)
	for _, o := range objects {
		if previous != nil {
			if reusable, ok := previous.parts[o.Name]; ok && reusable.version == o.Version && o.Version != 0 {
				v.parts[o.Name] = reusable
				parts = append(parts, reusable.blocks)
				continue
			}
		}
		same = false
		blocks, err := decodeBlocks(o)
		if err != nil {
			faulty = append(faulty, err.Error())
			continue
		}
		v.parts[o.Name] = blockPart{version: o.Version, blocks: blocks}
		parts = append(parts, blocks)
	}
	if same {
		v.table = previous.table
		return nil
	}
	table, err := steering.Merge(parts)
	if err != nil {
		faulty = append(faulty, err.Error())
		if previous != nil {
			v.table, v.parts = previous.table, previous.parts
		}
		return faulty
	}
	v.table = table
	return faulty
}

func decodeBlocks(o spec.Object) (*steering.Part, error) {
	value, err := o.Value()
	if err != nil {
		return nil, err
	}
	object, _ := value.(*spec.Blocks)
	var blocks []steering.Block
	// Iterate in the order of hall names, so that every VM resolves a prefix listed
	// under two halls to the same one.
	for _, hall := range slices.Sorted(maps.Keys(object.Halls)) {
		for _, p := range object.Halls[hall] {
			blocks = append(blocks, steering.Block{Prefix: p, Hall: hall})
		}
	}
	p, err := steering.NewPart(blocks)
	return p, errors.Wrapf(err, "%s", o.Key)
}

func (v *View) indexTraffic() {
	v.moves = make(map[moveKey][]*spec.Move)
	for i := range v.traffic.Moves {
		m := &v.traffic.Moves[i]
		if m.State == spec.MoveStopped || m.EffectiveShare() == 0 {
			continue
		}
		key := moveKey{m.Service, m.From}
		v.moves[key] = append(v.moves[key], m)
	}
	v.leaving = make(map[string]bool, len(v.traffic.Leaving))
	for _, worker := range v.traffic.Leaving {
		v.leaving[worker] = true
	}
}

// Generation returns the platform revision of the view.
func (v *View) Generation() uint64 { return v.generation }

// Fleet returns the halls and links. The caller must not modify it.
func (v *View) Fleet() *spec.Fleet { return v.fleet }

// Traffic returns the moves and caps. The caller must not modify it.
func (v *View) Traffic() *spec.Traffic { return v.traffic }

// Service returns a service by name. The caller must not modify it.
func (v *View) Service(name string) (*spec.Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Services returns the names of all services in ascending order.
func (v *View) Services() []string {
	names := make([]string, 0, len(v.services))
	for name := range v.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Table returns the steering table.
func (v *View) Table() *steering.Table { return v.table }

// Home returns the home hall of a client.
func (v *View) Home(client netip.Addr) (string, bool) { return v.table.Home(client) }

// Moves returns the moves of a service out of a hall whose effective share is above
// zero, in the order of the traffic object.
func (v *View) Moves(service, from string) []*spec.Move { return v.moves[moveKey{service, from}] }

// IsLeaving reports whether an operator drains the worker.
func (v *View) IsLeaving(worker string) bool { return v.leaving[worker] }

// NearestHalls returns the other halls that have workers of a service: first those of
// the same region, then all others, each group in the order of the fleet object.
func (v *View) NearestHalls(hall, service string) []string {
	s, ok := v.services[service]
	if !ok {
		return nil
	}
	region := v.fleet.Region(hall)
	var sameRegion, otherRegions []string
	for _, h := range v.fleet.Halls {
		switch {
		case h.Name == hall || s.Slots(h.Name) == 0:
		case h.Region == region:
			sameRegion = append(sameRegion, h.Name)
		default:
			otherRegions = append(otherRegions, h.Name)
		}
	}
	return append(sameRegion, otherRegions...)
}

// WithGeneration returns the same configuration at a later generation, for a platform
// revision without a configuration change.
func (v *View) WithGeneration(generation uint64) *View {
	next := *v
	next.generation = generation
	return &next
}

// WithTraffic returns the same configuration with another traffic object, for
// decisions based on one just read from the platform.
func (v *View) WithTraffic(t *spec.Traffic) *View {
	next := *v
	next.traffic = t
	next.indexTraffic()
	return &next
}

// CheckReferences returns an error that names every hall that blocks or services refer to and
// the fleet lacks.
func (v *View) CheckReferences() error {
	known := make(map[string]bool)
	for _, h := range v.fleet.Halls {
		known[h.Name] = true
	}
	var faulty []string
	for _, name := range v.Services() {
		for _, w := range v.services[name].Workers {
			if !known[w.Hall] {
				faulty = append(faulty, "service "+name+": worker "+w.ID+" is in unknown hall "+w.Hall)
			}
		}
	}
	for _, hall := range v.table.Halls() {
		if !known[hall] {
			faulty = append(faulty, "blocks: unknown hall "+hall)
		}
	}
	if len(faulty) > 0 {
		return errors.Newf("view: %s", strings.Join(faulty, "; "))
	}
	return nil
}
