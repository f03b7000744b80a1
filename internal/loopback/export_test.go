// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package loopback

// ClaimFrom is claimFrom, for tests.
var ClaimFrom = claimFrom
