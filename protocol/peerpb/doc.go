// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package peerpb contains the generated messages exchanged between VMs.
//
// The source is peer.proto; `make generate` regenerates peer.pb.go. The generated
// code is committed, so that a build needs no generator.
package peerpb
