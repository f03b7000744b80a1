// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"net/http"
	"testing"
)

func TestResponsesBeforeAbortedOneAreSent(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial(t)
	c.send(get("/1?work=100ms"), get("/2?abort"), get("/3"))
	c.want(http.StatusOK, "/1")
	c.wantEnd()
}
