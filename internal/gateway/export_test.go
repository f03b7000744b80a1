// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

// Lapsed is lapsed, for tests.
var Lapsed = lapsed
