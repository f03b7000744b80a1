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

// maxClockSkew is how far another VM's clock may be ahead of this one's.
const maxClockSkew = time.Hour

// decodeEntry decodes a stored or received entry. It rejects one that starts too far in
// the future, which would last longer than any entry may.
func decodeEntry(raw []byte, now time.Time) (quarantine.Entry, error) {
	e, err := quarantine.Decode(raw)
	if err == nil && e.Since.After(now.Add(maxClockSkew)) {
		err = errors.Wrapf(quarantine.ErrEntry, "start %s is too far in the future", e.Since)
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

// fromHangUps decodes hang-ups. It returns those that can be decoded along with the
// combined error for the others.
func fromHangUps(in *peerpb.HangUps, now time.Time) (hangUps []poison.HangUp, answered []quarantine.Fingerprint, errs error) {
	for _, h := range in.GetHangUps()[:min(len(in.GetHangUps()), maxHangUps)] {
		f, err := quarantine.FingerprintFromBytes(h.GetFingerprint())
		if err != nil {
			errs = errors.CombineErrors(errs, err)
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
			errs = errors.CombineErrors(errs, err)
			continue
		}
		answered = append(answered, f)
	}
	return hangUps, answered, errs
}
