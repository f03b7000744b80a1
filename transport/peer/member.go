// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/spec"
)

// ErrMalformedMember reports a member record from a peer that cannot be decoded.
var ErrMalformedMember = errors.New("peer: malformed member record")

// EncodeMember returns the wire message for a member.
func EncodeMember(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Vm: m.ID, Hall: m.Hall, Entry: m.Entry, Peer: m.Peer,
		Start: m.Start, Incarnation: m.Incarnation, State: uint32(m.State), LinkMbps: uint32(m.LinkMbps), Path: uint32(m.Path),
	}
}

// DecodeMember decodes a member message. It returns ErrMalformedMember if a name
// is invalid, the state is unknown or the start number is missing.
func DecodeMember(m *peerpb.Member) (membership.Member, error) {
	state := membership.State(m.GetState())
	if !spec.ValidName(m.GetVm()) || !spec.ValidName(m.GetHall()) || state > membership.StateGone || m.GetStart() == 0 {
		return membership.Member{}, errors.Wrapf(ErrMalformedMember, "VM %q", m.GetVm())
	}
	path := membership.Path(m.GetPath())
	if path > membership.PathStarting {
		path = membership.PathUnknown
	}
	return membership.Member{
		Path: path,
		VM: spec.VM{
			ID: m.GetVm(), Hall: m.GetHall(), Entry: m.GetEntry(), Peer: m.GetPeer(), State: spec.VMLive, LinkMbps: int(m.GetLinkMbps()),
		},
		Start: m.GetStart(), Incarnation: m.GetIncarnation(), State: state,
	}, nil
}

// DecodeMembers decodes the member messages of a peer and skips malformed ones.
func DecodeMembers(messages []*peerpb.Member) []membership.Member {
	members := make([]membership.Member, 0, len(messages))
	for _, m := range messages {
		if member, err := DecodeMember(m); err == nil {
			members = append(members, member)
		}
	}
	return members
}
