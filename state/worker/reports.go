// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

const (
	// minReportedRequests is the minimum of requests in a load report that is forwarded.
	// With a single request the worker is idle apart from the request whose response carried
	// the report; a missing report says the same.
	minReportedRequests = 2
	// maxReports bounds the load reports in one message to 16 KB.
	maxReports = 1024
	// duplicateReportWindow is how much newer than the known report another one must seem
	// to count as new. The age of a relayed report excludes its transit time; without the
	// window a report that returns to the VM that sent it would be sent to all VMs again.
	duplicateReportWindow = 20 * time.Millisecond
)

// LoadReport is a worker's report of the requests that it runs or queues.
type LoadReport struct {
	Requests int
	// Age is the time since the worker sent the report.
	Age time.Duration
}

// MergeReport merges a load report that the worker sent to another VM, unless the known one
// is as new.
func (l *Load) MergeReport(r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeReport(r)
}

// MergeAndForwardReport merges a load report like MergeReport, and includes it in the next
// DrainReports.
func (l *Load) MergeAndForwardReport(r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsentReport = l.mergeReport(r) || l.unsentReport
}

// mergeReport merges a load report and reports whether it is new. The caller holds the
// lock.
func (l *Load) mergeReport(r LoadReport) bool {
	at := l.now().Add(-r.Age)
	if !at.After(l.reportedAt.Add(duplicateReportWindow)) {
		return false
	}
	l.reportedAt, l.reportedTotal = at, r.Requests
	l.othersInFlight = max(0, r.Requests-l.inFlight)
	l.reportSeq = l.lastReportSeq.Add(1)
	return true
}

// currentReport returns the latest load report and whether it is worth forwarding.
func (l *Load) currentReport() (LoadReport, bool) {
	age := l.now().Sub(l.reportedAt)
	return LoadReport{Requests: l.reportedTotal, Age: age}, age < reportTTL && l.reportedTotal >= minReportedRequests
}

// DrainReports returns the load reports that this VM received since the last call, by
// incarnation ID.
func (l *Loads) DrainReports() map[string]LoadReport {
	return l.collectReports(func(load *Load) bool {
		unsent := load.unsentReport
		load.unsentReport = false
		return unsent
	})
}

// ReportsSince returns the known load reports with a sequence number above seq, by
// incarnation ID, and the number for the next call. A seq of 0 returns all.
func (l *Loads) ReportsSince(seq uint64) (map[string]LoadReport, uint64) {
	last := l.lastReportSeq.Load()
	return l.collectReports(func(load *Load) bool { return load.reportSeq > seq }), last
}

// collectReports returns the valid load reports of the workers for which wanted returns
// true. It holds the load's lock during the call of wanted.
func (l *Loads) collectReports(wanted func(*Load) bool) map[string]LoadReport {
	reports := make(map[string]LoadReport)
	for i := range l.shards {
		l.shards[i].collectReports(reports, wanted)
	}
	return reports
}

func (s *shard) collectReports(reports map[string]LoadReport, wanted func(*Load) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, load := range s.loads {
		if len(reports) >= maxReports {
			return
		}
		load.mu.Lock()
		if report, valid := load.currentReport(); wanted(load) && valid {
			reports[id] = report
		}
		load.mu.Unlock()
	}
}
