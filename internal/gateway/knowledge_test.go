// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/internal/metrics"
)

// logLines keeps what a VM logs. It is safe for concurrent use.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// has reports whether one line holds all the words.
func (l *logLines) has(words ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		found := 0
		for _, word := range words {
			if strings.Contains(line, word) {
				found++
			}
		}
		if found == len(words) {
			return true
		}
	}
	return false
}

// exposed returns the metrics as they are served.
func exposed(set *metrics.Set) string {
	w := httptest.NewRecorder()
	set.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// Logs and metrics tell when what a VM believes is older than a change may take,
// of which kind and why, and when that is over.
func TestOldKnowledgeIsTold(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	var lines logLines
	set := metrics.New()
	v := f.start("a", "north-a", func(cfg *gateway.Config, _ *door) {
		cfg.Log = funcr.NewJSON(lines.add, funcr.Options{})
		cfg.Metrics = set
	})
	f.until("it serves", v.ready)
	v.door.set(true, false)
	f.until("the log says that knowledge is old, and why", func() bool {
		return lines.has("knowledge: older than a change may take", `"kind":"config"`, errAway.Error())
	})
	f.until("the log says that the VM passes itself over", func() bool { return lines.has("watchers: what one knows is old", `"peer":"a"`) })
	if text := exposed(set); !strings.Contains(text, `ryehill_watchers_passed_over_total{reason="old knowledge"}`) {
		t.Error("no counter of watchers that were passed over")
	}
	f.until("the gauge has the age", func() bool {
		// From two seconds on: "... 2." or a larger figure before the point.
		text := exposed(set)
		return !strings.Contains(text, `ryehill_knowledge_age_seconds{kind="config"} 0`) &&
			!strings.Contains(text, `ryehill_knowledge_age_seconds{kind="config"} 1`) &&
			strings.Contains(text, `ryehill_knowledge_age_seconds{kind="config"}`)
	})
	v.door.set(false, false)
	f.until("the log says that it is over", func() bool { return lines.has("knowledge: young again", `"kind":"config"`) })
}
