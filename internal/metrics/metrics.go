// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package metrics names and holds every metric of a daemon.
//
// # Usage
//
//	m := metrics.New()
//	m.Refused("full")
//	http.Handle("/metrics", m.Handler())
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Set is the metrics of one daemon. It is safe for concurrent use.
type Set struct {
	registry  *prometheus.Registry
	refused   *prometheus.CounterVec
	leftOut   *prometheus.CounterVec
	retries   *prometheus.CounterVec
	routed    *prometheus.CounterVec
	tries     *prometheus.CounterVec
	peerCalls *prometheus.CounterVec
	steps     *prometheus.CounterVec
	platform  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	inFlight  *prometheus.GaugeVec
	headroom  *prometheus.GaugeVec
	lent      *prometheus.GaugeVec
	reportAge *prometheus.GaugeVec
	revision  prometheus.Gauge
	era       prometheus.Gauge
	members   *prometheus.GaugeVec
	keysMoved prometheus.Counter
	knowledge *prometheus.GaugeVec
	doubted   *prometheus.CounterVec
	passed    *prometheus.CounterVec
	copies    *prometheus.CounterVec
	keyAsked  prometheus.Counter
	exits     *prometheus.CounterVec
	hungUp    *prometheus.CounterVec
	connects  *prometheus.CounterVec
	isolated  prometheus.Gauge
	checks    *prometheus.CounterVec
	forwarded *prometheus.CounterVec
	served    *prometheus.CounterVec
	rests     *prometheus.CounterVec
	leaving   *prometheus.CounterVec
	heldBack  *prometheus.GaugeVec
	held      prometheus.Gauge
	limits    *prometheus.CounterVec
	permits   *prometheus.CounterVec
	unused    *prometheus.CounterVec
	rollout   *prometheus.GaugeVec
	eras      *prometheus.CounterVec
	restored  *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	pipeline  pipeline
	byRank    *prometheus.CounterVec
}

// New returns a set with a registry of its own.
func New() *Set {
	r := prometheus.NewRegistry()
	s := &Set{
		registry:  r,
		refused:   counter(r, "refused_total", "Requests that ryehill refused, by reason.", "reason"),
		leftOut:   counter(r, "log_lines_left_out_total", "Lines that were not logged, by reason.", "reason"),
		retries:   counter(r, "retries_total", "Questions for another try, by cause and verdict.", "cause", "verdict"),
		routed:    counter(r, "routed_total", "Requests by service and the rule that decided where they ran.", "service", "rule"),
		tries:     counter(r, "upstream_tries_total", "Tries at upstreams by result.", "result"),
		peerCalls: counter(r, "peer_calls_total", "Calls to peers by message and result.", "message", "result"),
		steps:     counter(r, "controller_actions_total", "Changes of moves by the controller, by rule.", "rule"),
		platform:  counter(r, "platform_calls_total", "Calls to the platform by call and result.", "call", "result"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "ryehill", Name: "request_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service"}),
		inFlight:  gauge(r, "in_flight", "Requests in flight at owned upstreams.", "service"),
		headroom:  gauge(r, "headroom_slots", "Free slots at owned upstreams.", "service"),
		lent:      gauge(r, "lent_slots", "Slots lent to other VMs and not in use.", "service"),
		reportAge: gauge(r, "report_age_seconds", "Age of the oldest load report of an owned upstream.", "service"),
		members:   gauge(r, "members", "Known VMs by state.", "state"),
		knowledge: gauge(r, "knowledge_age_seconds", "Time since the store last confirmed what is believed, by kind.", "kind"),
		doubted:   counter(r, "knowledge_doubted_total", "Kinds of which a peer named an object that was missing.", "kind"),
		passed:    counter(r, "watchers_passed_over_total", "Times that another VM was asked for news than the first choice, by reason.", "reason"),
		exits:     counter(r, "upstream_exits_total", "Suspected exits of upstream processes that this VM observed or was told of, by evidence.", "evidence"),
		connects:  counter(r, "upstream_connections_total", "Connections to upstreams by result: opened, refused, reset, timed out or failed; broken if they failed during an exchange, unanswered if it ended without an answer after a while.", "result"),
		checks:    counter(r, "reach_checks_total", "Checks whether this VM reaches workers, by result.", "result"),
		forwarded: counter(r, "forwarded_total", "Tries that this VM made by way of another VM, since it reached no upstream, by result.", "result"),
		served:    counter(r, "forwarded_served_total", "Tries that this VM made for other VMs, by result.", "result"),
		hungUp:    counter(r, "upstream_hang_ups_total", "Tries at which the upstream ended the connection before it answered, by service.", "service"),
		heldBack:  gauge(r, "upstreams_held_back", "Upstreams that get nothing for now, or soon, for what they have said of themselves, by state.", "state"),
		rests:     counter(r, "upstream_rests_total", "Refusals by upstreams that asked this VM for rest, by service.", "service"),
		leaving:   counter(r, "upstream_leaving_total", "Upstreams that said in an answer to this VM that they leave, by service.", "service"),
		limits:    counter(r, "upstream_limits_total", "Answers in which upstreams named the rate that they take from all VMs together, by service.", "service"),
		permits:   counter(r, "upstream_permits_total", "Permits that this VM wanted for requests to upstreams that name a limit, by service and result.", "service", "result"),
		unused:    counter(r, "store_entries_unused_total", "Versions of the store's entries that were not used, by kind and reason.", "kind", "reason"),
		rollout:   gauge(r, "rollout_phase", "How far a new version of a service has come, from 0 (ordered) over 1 (trial), 2 (shift) and 3 (proved) to 4 (rolled back) or 5 (completed), at the VM that decides.", "service"),
		eras:      counter(r, "store_eras_entered_total", "Times that the replica of a kind passed to a new era of the store, by kind.", "kind"),
		restored:  counter(r, "store_objects_restored_total", "Objects that this VM wrote again after the store had lost them, by kind.", "kind"),
		dropped:   counter(r, "store_objects_not_restored_total", "Objects of an earlier era that nobody wrote again in time, by kind.", "kind"),
		pipeline:  newPipeline(r),
		byRank:    counter(r, "rank_refused_total", "Requests that ryehill refused for lack of room where requests of a service have different ranks, by service and rank.", "service", "rank"),
		copies:    counter(r, "peer_copies_total", "Whole kinds told to peers, by unit.", "unit"),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "ryehill", Name: "generation", Help: "Generation of the configuration in force.",
		}),
	}
	s.held = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "ryehill", Name: "quarantined_requests", Help: "Requests that are held since they end workers.",
	})
	s.keysMoved = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "ryehill", Name: "keys_moved_total", Help: "Keys that this VM has moved from pressed workers to others.",
	})
	s.keyAsked = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "ryehill", Name: "key_questions_total", Help: "Questions to other VMs for API keys that this VM does not know.",
	})
	s.isolated = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "ryehill", Name: "isolated", Help: "1 while this VM reaches no upstream, else 0.",
	})
	s.era = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "ryehill", Name: "store_era", Help: "Newest era in a response of the platform's store, which rises when the store returns from an older copy.",
	})
	r.MustRegister(s.duration, s.held, s.isolated, s.revision, s.era, s.keysMoved, s.keyAsked, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

func counter(r *prometheus.Registry, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "ryehill", Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

func gauge(r *prometheus.Registry, name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "ryehill", Name: name, Help: help}, labels)
	r.MustRegister(g)
	return g
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Refused counts a refusal.
func (s *Set) Refused(reason string) { s.refused.WithLabelValues(reason).Inc() }

// RankRefused counts a request of a rank that was refused for lack of room.
func (s *Set) RankRefused(service string, rank int) {
	s.byRank.WithLabelValues(service, strconv.Itoa(min(rank, maxRankLabel))).Inc()
}

// maxRankLabel bounds the ranks that are told apart.
const maxRankLabel = 7

// LogLeftOut counts a line that was not logged.
func (s *Set) LogLeftOut(reason string) { s.leftOut.WithLabelValues(reason).Inc() }

// Retry counts a question for another try.
func (s *Set) Retry(cause, verdict string) { s.retries.WithLabelValues(cause, verdict).Inc() }

// Routed counts a request by the rule that decided.
func (s *Set) Routed(service, rule string) { s.routed.WithLabelValues(service, rule).Inc() }

// Tried counts a try at an upstream.
func (s *Set) Tried(result string) { s.tries.WithLabelValues(result).Inc() }

// PeerCall counts a call to a peer.
func (s *Set) PeerCall(message string, err error) {
	s.peerCalls.WithLabelValues(message, result(err)).Inc()
}

// PlatformCall counts a call to the platform.
func (s *Set) PlatformCall(call string, err error) {
	s.platform.WithLabelValues(call, result(err)).Inc()
}

// Stepped counts a change of a move.
func (s *Set) Stepped(rule string) { s.steps.WithLabelValues(rule).Inc() }

// Took notes how long a request took.
func (s *Set) Took(service string, d time.Duration) {
	s.duration.WithLabelValues(service).Observe(d.Seconds())
}

// Pool sets the gauges of a service's owned upstreams.
func (s *Set) Pool(service string, inFlight, free, lent int, age time.Duration) {
	s.inFlight.WithLabelValues(service).Set(float64(inFlight))
	s.headroom.WithLabelValues(service).Set(float64(free))
	s.lent.WithLabelValues(service).Set(float64(lent))
	s.reportAge.WithLabelValues(service).Set(age.Seconds())
}

// KeysMoved counts keys that were moved from pressed workers.
func (s *Set) KeysMoved(n int) { s.keysMoved.Add(float64(n)) }

// KeyQuestion counts a question to another VM for an API key that is not known.
func (s *Set) KeyQuestion() { s.keyAsked.Inc() }

// KnowledgeAge sets how long ago the store last confirmed what is believed of a
// kind.
func (s *Set) KnowledgeAge(kind string, age time.Duration) {
	s.knowledge.WithLabelValues(kind).Set(age.Seconds())
}

// KnowledgeDoubted counts a kind of which a peer named an object that was missing.
func (s *Set) KnowledgeDoubted(kind string) { s.doubted.WithLabelValues(kind).Inc() }

// SuspectedExit counts a suspected exit of an upstream's process.
func (s *Set) SuspectedExit(evidence string) { s.exits.WithLabelValues(evidence).Inc() }

// WatcherPassedOver counts a VM that is not asked for news for a while.
func (s *Set) WatcherPassedOver(reason string) { s.passed.WithLabelValues(reason).Inc() }

// PeerCopies counts whole kinds that were told to peers, and their bytes.
func (s *Set) PeerCopies(copies, bytes int) {
	s.copies.WithLabelValues("copies").Add(float64(copies))
	s.copies.WithLabelValues("bytes").Add(float64(bytes))
}

// Quarantined sets how many requests are held.
func (s *Set) Quarantined(n int) { s.held.Set(float64(n)) }

// Unused counts a version of an entry of the store that is not used.
func (s *Set) Unused(kind, reason string) { s.unused.WithLabelValues(kind, reason).Inc() }

// HungUp counts a try at which the upstream ended the connection before it answered.
func (s *Set) HungUp(service string) { s.hungUp.WithLabelValues(service).Inc() }

// Connection counts a connection to an upstream that was opened, or failed.
func (s *Set) Connection(result string) { s.connects.WithLabelValues(result).Inc() }

// Isolated sets whether this VM reaches no upstream.
func (s *Set) Isolated(isolated bool) {
	value := 0.0
	if isolated {
		value = 1
	}
	s.isolated.Set(value)
}

// ReachCheck counts a check whether this VM reaches upstreams.
func (s *Set) ReachCheck(result string) { s.checks.WithLabelValues(result).Inc() }

// Forwarded counts a try by way of another VM.
func (s *Set) Forwarded(result string) { s.forwarded.WithLabelValues(result).Inc() }

// ServedForwarded counts a try that was made for another VM.
func (s *Set) ServedForwarded(result string) { s.served.WithLabelValues(result).Inc() }

// AskedForRest counts a refusal by an upstream that wants nothing from this VM for a time.
func (s *Set) AskedForRest(service string) { s.rests.WithLabelValues(service).Inc() }

// NamedLimit counts an answer in which an upstream named the rate that it takes.
func (s *Set) NamedLimit(service string) { s.limits.WithLabelValues(service).Inc() }

// Permit counts a permit that was wanted for a request to an upstream that names a limit.
func (s *Set) Permit(service, result string) { s.permits.WithLabelValues(service, result).Inc() }

// HeldBack sets how many upstreams leave or rest.
func (s *Set) HeldBack(state string, n int) { s.heldBack.WithLabelValues(state).Set(float64(n)) }

// SaidLeaving counts an upstream that said for the first time that it leaves.
func (s *Set) SaidLeaving(service string) { s.leaving.WithLabelValues(service).Inc() }

// RolloutPhase sets how far a new version of a service has come.
func (s *Set) RolloutPhase(service string, phase int) {
	s.rollout.WithLabelValues(service).Set(float64(phase))
}

// Generation sets the generation in force.
func (s *Set) Generation(g uint64) { s.revision.Set(float64(g)) }

// StoreEra sets the newest era of the platform's store.
func (s *Set) StoreEra(era uint64) { s.era.Set(float64(era)) }

// EraEntered counts a kind that passed to a new era of the store.
func (s *Set) EraEntered(kind string) { s.eras.WithLabelValues(kind).Inc() }

// Restored counts an object that was written again after the store had lost it.
func (s *Set) Restored(kind string) { s.restored.WithLabelValues(kind).Inc() }

// NotWrittenAgain counts objects of an earlier era that nobody wrote again in time.
func (s *Set) NotWrittenAgain(kind string, n int) { s.dropped.WithLabelValues(kind).Add(float64(n)) }

// Members sets how many VMs are in a state.
func (s *Set) Members(state string, n int) { s.members.WithLabelValues(state).Set(float64(n)) }

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
