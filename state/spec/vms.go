// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxVMs bounds the platform's list of VMs.
const MaxVMs = 4096

// VMState is what the platform's list says of a VM.
type VMState string

// States of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry VM in the platform's list. The list lags: a VM in it may be
// gone and a new one may be missing.
type VM struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
	// Entry is where callers reach the VM, Peer where other VMs do.
	Entry string  `json:"entry"`
	Peer  string  `json:"peer"`
	State VMState `json:"state"`
	// LinkMbps is the width of the VM's link, in Mbit/s; 0 is unknown.
	LinkMbps int `json:"link_mbps,omitempty"`
}

// VMList is one version of the platform's list. Worker ids that leave are part
// of it, since upstream VMs are in the same platform.
type VMList struct {
	Version uint64   `json:"version"`
	VMs     []VM     `json:"vms"`
	Leaving []string `json:"leaving_upstreams,omitempty"`
}

// DecodeVMList reads and checks a list. It returns ErrObject with all faults.
func DecodeVMList(body []byte) (VMList, error) {
	if len(body) > MaxObjectBytes {
		return VMList{}, errors.Wrapf(ErrObject, "VM list: %d bytes, at most %d", len(body), MaxObjectBytes)
	}
	var l VMList
	if err := strict(body, &l); err != nil {
		return VMList{}, errors.Wrap(err, "VM list")
	}
	var f faults
	f.within("vms", int64(len(l.VMs)), 0, MaxVMs)
	f.within("leaving_upstreams", int64(len(l.Leaving)), 0, MaxWorkers)
	for i, vm := range l.VMs {
		checkVM(&f, "vms["+strconv.Itoa(i)+"]", vm)
	}
	return l, errors.Wrap(f.err(), "VM list")
}

func checkVM(f *faults, field string, vm VM) {
	f.name(field+".id", vm.ID)
	f.name(field+".hall", vm.Hall)
	for _, address := range []string{vm.Entry, vm.Peer} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			f.add(field, "%q: want IP:port", address)
		}
	}
	if vm.State != VMLive && vm.State != VMLeaving {
		f.add(field+".state", "%q: allowed are live and leaving", vm.State)
	}
}
