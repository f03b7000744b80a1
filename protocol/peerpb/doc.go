// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package peerpb holds the generated messages between VMs.
//
// The source is peer.proto; `make generate` writes peer.pb.go anew. Generated
// code is committed, so that a build needs no generator.
package peerpb
