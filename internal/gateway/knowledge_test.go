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

// logLines collects log lines. It is safe for concurrent use.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// containsLine reports whether one line contains all words.
func (l *logLines) containsLine(words ...string) bool {
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

// renderMetrics returns the metrics in the served text format.
func renderMetrics(set *metrics.Set) string {
	w := httptest.NewRecorder()
	set.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// Guards against stale state, its cause or its end missing from logs and metrics.
func TestStaleStateIsReported(t *testing.T) {
	f := newFleet(t)
	f.startWorker("w1", "s", "north-a")
	var lines logLines
	set := metrics.New()
	v := f.startVM("a", "north-a", func(cfg *gateway.Config, _ *storeClient) {
		cfg.Log = funcr.NewJSON(lines.add, funcr.Options{})
		cfg.Metrics = set
	})
	f.waitFor("the VM is ready", v.ready)
	v.storeClient.setFailure(true, false)
	f.waitFor("the log reports stale state and its cause", func() bool {
		return lines.containsLine("knowledge: older than a change may take", `"kind":"config"`, errStoreUnavailable.Error())
	})
	f.waitFor("the log reports that the VM is passed over as watcher", func() bool { return lines.containsLine("watchers: what one knows is old", `"peer":"a"`) })
	if text := renderMetrics(set); !strings.Contains(text, `ryehill_watchers_passed_over_total{reason="old knowledge"}`) {
		t.Error("no counter of watchers that were passed over")
	}
	f.waitFor("the gauge shows the age", func() bool {
		// The age is 2 s or more.
		text := renderMetrics(set)
		return !strings.Contains(text, `ryehill_knowledge_age_seconds{kind="config"} 0`) &&
			!strings.Contains(text, `ryehill_knowledge_age_seconds{kind="config"} 1`) &&
			strings.Contains(text, `ryehill_knowledge_age_seconds{kind="config"}`)
	})
	v.storeClient.setFailure(false, false)
	f.waitFor("the log reports fresh state", func() bool { return lines.containsLine("knowledge: young again", `"kind":"config"`) })
}
