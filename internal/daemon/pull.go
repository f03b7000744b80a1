// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"encoding/json"

	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/protocol/wire"
	"github.com/ryehill/ryehill/state/spec"
)

// takeChanges reads the answer to a pull, checking it as strictly as what comes
// from the platform.
func (d *Daemon) takeChanges(c *peerpb.Changes) (spread.Changes, error) {
	if len(c.GetVmList()) > 0 {
		var raw json.RawMessage
		if err := wire.Unpack(c.GetVmList(), &raw); err != nil {
			return spread.Changes{}, err
		}
		list, err := spec.DecodeVMList(raw)
		if err != nil {
			return spread.Changes{}, err
		}
		d.store.ApplyVMs(list)
	}
	changes := spread.Changes{Since: c.GetSince(), UpTo: c.GetUpTo()}
	if len(c.GetObjects()) == 0 {
		return changes, nil
	}
	var raws []json.RawMessage
	if err := wire.Unpack(c.GetObjects(), &raws); err != nil {
		return spread.Changes{}, err
	}
	for _, raw := range raws {
		o, err := spec.DecodeObject(raw)
		if err != nil {
			return spread.Changes{}, err
		}
		changes.Objects = append(changes.Objects, o)
	}
	return changes, nil
}

// giveChanges answers a pull.
func (d *Daemon) giveChanges(p *peerpb.Pull) *peerpb.Changes {
	since := d.store.Since(p.GetRevision())
	reply := &peerpb.Changes{Since: since.Since, UpTo: since.UpTo}
	if len(since.Objects) > 0 {
		packed, err := wire.Pack(since.Objects)
		if err != nil {
			d.log.Error(err, "config: changes not packed")
			return &peerpb.Changes{Since: since.Since, UpTo: since.Since}
		}
		reply.Objects = packed
	}
	if list := d.store.VMs(); list.Version > p.GetVmList() {
		if packed, err := wire.Pack(list); err == nil {
			reply.VmList = packed
		}
	}
	return reply
}
