// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Refusal is the error of a proxy that does not make an exchange.
type Refusal struct{ Reason Reason }

// Error implements error.
func (r *Refusal) Error() string { return "forward: refused: " + r.Reason.String() }

// Refuse refuses a request without reading it.
func Refuse(s *peer.Stream, reason Reason) { writeFailure(s, &Refusal{reason}) }

// Run makes the exchange of a forwarded request. Its errors are of type *Refusal or
// *upstream.Error.
type Run func(ctx context.Context, r Request) (*upstream.Response, error)

// Serve makes the exchange that a peer asks for and sends the response back. It returns
// the error of the exchange once it has ended. It cancels the exchange if the peer closes
// the stream or the deadline of the request passes.
func Serve(ctx context.Context, s *peer.Stream, first *peerpb.Forward, run Run) error {
	r, err := decode(first)
	if err != nil {
		writeFailure(s, &Refusal{peerpb.ForwardFailed_MALFORMED})
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	body := peer.NewRequestBody(s, cancel)
	defer body.Stop()
	body.Start()
	if first.GetHasBody() {
		r.Exchange.Body = body
	}
	res, err := run(ctx, r)
	if err != nil {
		writeFailure(s, err)
		return err
	}
	defer res.Close()
	return writeResponse(s, res)
}

func writeResponse(s *peer.Stream, res *upstream.Response) error {
	s.SetWriteDeadline(time.Now().Add(peer.ProgressTimeout)) //nolint:forbidigo // The runtime counts by the steady clock.
	head := &peerpb.Head{Status: uint32(res.Status()), Headers: peer.EncodeHeader(res.Header()), Length: res.Length()}
	if err := s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Head{Head: head}}); err != nil {
		return errors.Wrapf(err, "forward: response head to %s", s.Peer())
	}
	if _, err := peer.CopyBody(peer.NewChunkWriter(s, nil), res.Body()); err != nil {
		writeFailure(s, err)
		return errors.Wrapf(err, "forward: response body to %s", s.Peer())
	}
	err := s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_End{End: &peerpb.End{}}})
	return errors.Wrapf(err, "forward: end of response to %s", s.Peer())
}

// writeFailure reports an error of Run. If that fails, the stream ends without a response,
// which the peer takes for a request that may have run.
func writeFailure(s *peer.Stream, err error) {
	message := &peerpb.ForwardFailed{Message: strings.ToValidUTF8(err.Error(), "\uFFFD")}
	var refusal *Refusal
	var failed *upstream.Error
	switch {
	case errors.As(err, &refusal):
		message.Reason, message.NotRun = refusal.Reason, true
	case errors.As(err, &failed):
		message.Kind, message.NotRun, message.PeerClosed = failed.Kind().String(), failed.NotRun(), failed.PeerClosed()
		message.Status, message.Headers = uint32(failed.Status()), peer.EncodeHeader(failed.Header())
	default:
		message.Kind = upstream.KindBroken.String()
	}
	s.SetWriteDeadline(time.Now().Add(peer.ProgressTimeout)) //nolint:forbidigo // The runtime counts by the steady clock.
	_ = s.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_ForwardFailed{ForwardFailed: message}})
}

// decode validates a message of a peer.
func decode(f *peerpb.Forward) (Request, error) {
	if err := peer.CheckRequestLine(f.GetMethod(), string(f.GetTarget()), f.GetHost()); err != nil {
		return Request{}, err
	}
	if f.GetWorker() == "" || f.GetLength() < -1 || f.GetTimeoutMillis() == 0 {
		return Request{}, errors.Newf("worker %q, length %d, timeout %d ms", f.GetWorker(), f.GetLength(), f.GetTimeoutMillis())
	}
	r := Request{
		ID: f.GetId(), Worker: upstream.Worker{ID: f.GetWorker(), Start: f.GetStart()},
		Exchange: &upstream.Request{
			Method: f.GetMethod(), Target: string(f.GetTarget()), Host: f.GetHost(), Header: peer.DecodeHeader(f.GetHeaders()),
			Length: f.GetLength(), AtMostOnce: f.GetOnce(),
		},
		Timeout: min(time.Duration(f.GetTimeoutMillis())*time.Millisecond, maxTimeout),
		Suspect: Suspect{TargetHash: f.GetTargetHash(), Subject: f.GetSubject()},
	}
	if copy(r.Suspect.Fingerprint[:], f.GetFingerprint()) != len(r.Suspect.Fingerprint) {
		return Request{}, errors.New("fingerprint is missing")
	}
	return r, nil
}
