// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package quarantine tells requests apart that look alike to a router but not to a
// worker: by method, host, target, credential and body.
//
// # Usage
//
//	f := quarantine.FingerprintOf(quarantine.IdentityOf(r, key, body, length))
package quarantine
