// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxVMs bounds the number of VMs in the platform's list.
const MaxVMs = 4096

// VMState is the state of a VM according to the platform's list.
type VMState string

// States of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry in the platform's list. The list lags behind: it may contain a VM
// that has terminated and lack a new one.
type VM struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
	// Entry is the address for callers, Peer the address for other VMs.
	Entry string  `json:"entry"`
	Peer  string  `json:"peer"`
	State VMState `json:"state"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, 0 if unknown.
	LinkMbps int `json:"link_mbps,omitempty"`
}

// VMList is one version of the platform's list. Leaving holds the ids of workers
// that are leaving, as the platform also runs the VMs of upstreams.
type VMList struct {
	Version uint64   `json:"version"`
	VMs     []VM     `json:"vms"`
	Leaving []string `json:"leaving_upstreams,omitempty"`
}

// DecodeVMList decodes and validates a list. It returns ErrInvalidObject with all
// errors.
func DecodeVMList(body []byte) (VMList, error) {
	if len(body) > MaxObjectBytes {
		return VMList{}, errors.Wrapf(ErrInvalidObject, "VM list: %d bytes, limit is %d", len(body), MaxObjectBytes)
	}
	var l VMList
	if err := decodeStrict(body, &l); err != nil {
		return VMList{}, errors.Wrap(err, "VM list")
	}
	var f violations
	f.checkRange("vms", int64(len(l.VMs)), 0, MaxVMs)
	f.checkRange("leaving_upstreams", int64(len(l.Leaving)), 0, MaxWorkers)
	for i, vm := range l.VMs {
		checkVM(&f, "vms["+strconv.Itoa(i)+"]", vm)
	}
	return l, errors.Wrap(f.err(), "VM list")
}

func checkVM(f *violations, field string, vm VM) {
	f.checkName(field+".id", vm.ID)
	f.checkName(field+".hall", vm.Hall)
	for _, address := range []string{vm.Entry, vm.Peer} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			f.addf(field, "%q: want IP:port", address)
		}
	}
	if vm.State != VMLive && vm.State != VMLeaving {
		f.addf(field+".state", "%q: allowed are live and leaving", vm.State)
	}
}
