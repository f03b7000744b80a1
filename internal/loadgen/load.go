// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package loadgen

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is a kind of request.
type Kind string

// Kinds of request.
const (
	KindLookup Kind = "lookup" // a question for VMs
	KindRead   Kind = "read"
	KindPay    Kind = "pay"
	KindUpload Kind = "upload"
)

// Stream is a flow of requests of one kind, arriving at random moments whatever
// the answers do.
type Stream struct {
	Kind    Kind
	Service string
	// Rate is in requests a second.
	Rate float64
	// Size is of the answer or the upload, in bytes.
	Size int
	// Over is how long an upload takes.
	Over time.Duration
}

// Load is what Run sends.
type Load struct {
	Streams []Stream
	// Clients are the addresses that requests are for, used at random.
	Clients []netip.Addr
	VMs     []string
	HTTP    *http.Client
	// Origin begins the mark of every request, if set.
	Origin string
	// Pinned is a VM that PinnedPart of the clients use whatever look-ups
	// say, if set.
	Pinned     string
	PinnedPart float64
	// Progress, if set, counts while the load runs.
	Progress *Progress
	Duration time.Duration
	Seed     uint64
	// MaxInFlight bounds the requests under way; more are counted as missed.
	MaxInFlight int
	Timeout     time.Duration
}

// Progress counts requests by kind while a load runs. Sent goes up before a
// request leaves, Done after its end, so that Sent less an earlier Done bounds
// what arrived between the two moments. It is safe for concurrent use.
type Progress struct {
	mu   sync.Mutex
	sent map[Kind]int
	done map[Kind]int
}

// NewProgress returns a Progress at zero.
func NewProgress() *Progress {
	return &Progress{sent: make(map[Kind]int), done: make(map[Kind]int)}
}

// Counts returns how many requests of a kind were sent and have ended.
func (p *Progress) Counts(k Kind) (sent, done int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[k], p.done[k]
}

func (p *Progress) add(k Kind, sent, done int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[k] += sent
	p.done[k] += done
}

// Summary is what came back, for one kind.
type Summary struct {
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	NotRun   int64   `json:"not_run"`
	Unknown  int64   `json:"unknown"`
	Wrong    int64   `json:"wrong"`
	Missed   int64   `json:"missed"`
	P50      float64 `json:"p50_ms"`
	P95      float64 `json:"p95_ms"`
	P99      float64 `json:"p99_ms"`
	Max      float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Kinds map[string]*Summary `json:"kinds"`
	// Faults holds the first few wrong answers.
	Faults []string `json:"faults,omitempty"`
	// Refusals counts what refused requests were told.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Paid maps the key of every payment to what its client was told.
	Paid map[string]Told `json:"-"`
}

type recorder struct {
	mu     sync.Mutex
	report Report
	times  map[string]*hdrhistogram.Histogram
}

const (
	maxFaults   = 10
	maxRefusals = 32
	// Latencies are kept in microseconds up to ten minutes.
	longestTime  = 10 * 60 * 1_000_000
	timeFigures  = 3
	defaultSlots = 2048
)

// Run sends loads side by side, each until its duration or ctx ends, waits for
// the answers, and reports on all of them together.
func Run(ctx context.Context, loads ...Load) Report {
	r := &recorder{
		report: Report{Kinds: make(map[string]*Summary), Refusals: make(map[string]int), Paid: make(map[string]Told)},
		times:  make(map[string]*hdrhistogram.Histogram),
	}
	var wg sync.WaitGroup
	for _, l := range loads {
		wg.Go(func() { l.run(ctx, r) })
	}
	wg.Wait()
	return r.finish()
}

func (l *Load) run(ctx context.Context, r *recorder) {
	if l.MaxInFlight <= 0 {
		l.MaxInFlight = defaultSlots
	}
	clients := make([]*Client, len(l.Clients))
	for i, address := range l.Clients {
		cfg := Config{VMs: l.VMs, HTTP: l.HTTP, Client: address, Timeout: l.Timeout, Origin: l.Origin}
		if float64(i) < l.PinnedPart*float64(len(l.Clients)) {
			cfg.Pinned = l.Pinned
		}
		clients[i] = New(cfg)
	}
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i, s := range l.Streams {
		wg.Go(func() {
			l.stream(ctx, s, clients, rand.New(rand.NewPCG(l.Seed, uint64(i))), r)
		})
	}
	wg.Wait()
}

// stream sends one stream's requests at exponentially distributed distances.
func (l *Load) stream(ctx context.Context, s Stream, clients []*Client, random *rand.Rand, r *recorder) {
	slots := make(chan struct{}, l.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		client := clients[random.IntN(len(clients))]
		select {
		case slots <- struct{}{}:
		default:
			r.missed(s)
			continue
		}
		due := next
		wg.Go(func() {
			defer func() { <-slots }()
			// Requests under way when the run ends are not cut off.
			l.Progress.add(s.Kind, 1, 0)
			result := sendOne(context.WithoutCancel(ctx), client, s)
			// A request that was tried more than once arrived more than once.
			l.Progress.add(s.Kind, max(0, result.Tries-1), 1+max(0, result.Tries-1))
			result.Took = time.Since(due)
			r.add(s, result)
		})
	}
}

func sendOne(ctx context.Context, c *Client, s Stream) Result {
	switch s.Kind {
	case KindPay:
		return c.Pay(ctx, s.Service, []byte("fee of one application"))
	case KindUpload:
		return c.Upload(ctx, s.Service, s.Size, s.Over)
	case KindLookup:
		_, err := c.Lookup(ctx, s.Service, true)
		if err != nil {
			return Result{Told: ToldNotRun, Outcome: err.Error()}
		}
		return Result{Told: ToldAnswer}
	case KindRead:
	}
	return c.Read(ctx, s.Service, s.Size)
}

func (r *recorder) of(s Stream) (*Summary, *hdrhistogram.Histogram) {
	name := string(s.Kind) + " " + s.Service
	sum, ok := r.report.Kinds[name]
	if !ok {
		sum = &Summary{}
		r.report.Kinds[name] = sum
		r.times[name] = hdrhistogram.New(1, longestTime, timeFigures)
	}
	return sum, r.times[name]
}

func (r *recorder) missed(s Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum, _ := r.of(s)
	sum.Missed++
}

func (r *recorder) add(s Stream, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum, times := r.of(s)
	sum.Sent++
	if result.Key != "" && s.Kind == KindPay {
		r.report.Paid[result.Key] = result.Told
	}
	switch result.Told {
	case ToldAnswer:
		sum.Answered++
		_ = times.RecordValue(min(result.Took.Microseconds(), longestTime))
	case ToldNotRun:
		sum.NotRun++
	case ToldUnknown:
		sum.Unknown++
	}
	if result.Told != ToldAnswer && (len(r.report.Refusals) < maxRefusals || r.report.Refusals[result.Outcome] > 0) {
		r.report.Refusals[result.Outcome]++
	}
	if result.Wrong != nil {
		sum.Wrong++
		if len(r.report.Faults) < maxFaults {
			r.report.Faults = append(r.report.Faults, result.Wrong.Error())
		}
	}
}

func (r *recorder) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	const perMilli = 1000.0
	for name, sum := range r.report.Kinds {
		h := r.times[name]
		sum.P50 = float64(h.ValueAtQuantile(50)) / perMilli
		sum.P95 = float64(h.ValueAtQuantile(95)) / perMilli
		sum.P99 = float64(h.ValueAtQuantile(99)) / perMilli
		sum.Max = float64(h.Max()) / perMilli
	}
	return r.report
}

// Names returns the kinds of a report in order.
func (r *Report) Names() []string {
	names := make([]string, 0, len(r.Kinds))
	for name := range r.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
