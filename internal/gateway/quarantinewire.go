// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/quarantine"
)

// maxAhead is how far the time of day at another VM may be ahead of this one's.
const maxAhead = time.Hour

// decodeEntry reads an entry that was kept or told, and refuses one that would hold a
// request for longer than any VM holds one.
func decodeEntry(raw []byte, now time.Time) (quarantine.Entry, error) {
	e, err := quarantine.Decode(raw)
	if err == nil && e.Since.After(now.Add(maxAhead)) {
		err = errors.Wrapf(quarantine.ErrEntry, "held from %s", e.Since)
	}
	return e, err
}

func toHangUps(hangUps []poison.HangUp, answered []quarantine.Fingerprint, now time.Time) *peerpb.HangUps {
	out := &peerpb.HangUps{}
	for _, h := range hangUps {
		out.HangUps = append(out.HangUps, &peerpb.HangUp{
			Fingerprint: h.Fingerprint[:], Target: h.TargetHash, Subject: h.Subject, Service: h.Service, Worker: h.Worker,
			AgeMillis: uint32(max(now.Sub(h.At), 0).Milliseconds()),
		})
	}
	for _, f := range answered {
		out.Answered = append(out.Answered, f[:])
	}
	return out
}

// fromHangUps reads hang-ups, and returns with an error those that can be read.
func fromHangUps(in *peerpb.HangUps, now time.Time) (hangUps []poison.HangUp, answered []quarantine.Fingerprint, faults error) {
	for _, h := range in.GetHangUps()[:min(len(in.GetHangUps()), maxHangUps)] {
		f, err := quarantine.FingerprintFromBytes(h.GetFingerprint())
		if err != nil {
			faults = errors.CombineErrors(faults, err)
			continue
		}
		hangUps = append(hangUps, poison.HangUp{
			Fingerprint: f, TargetHash: h.GetTarget(), Subject: h.GetSubject(), Service: h.GetService(), Worker: h.GetWorker(),
			At: now.Add(-time.Duration(h.GetAgeMillis()) * time.Millisecond),
		})
	}
	for _, raw := range in.GetAnswered()[:min(len(in.GetAnswered()), maxHangUps)] {
		f, err := quarantine.FingerprintFromBytes(raw)
		if err != nil {
			faults = errors.CombineErrors(faults, err)
			continue
		}
		answered = append(answered, f)
	}
	return hangUps, answered, faults
}
