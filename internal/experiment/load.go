// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/internal/daemon"
	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/internal/loadgen"
	"github.com/ryehill/ryehill/internal/standin"
	"github.com/ryehill/ryehill/state/share"
)

const service = "read"

// hallLoad is reads by 64 clients of the first hall.
func hallLoad(f *fleet.Fleet, rate float64, d time.Duration) loadgen.Load {
	name := f.Halls()[0]
	l := loadgen.Load{
		Streams: []loadgen.Stream{{Kind: loadgen.KindRead, Service: service, Rate: rate, Size: 1000}},
		VMs:     f.Entries(name), HTTP: f.ClientHTTP(name), Duration: d, Seed: 7, Origin: name, Timeout: 3 * time.Second,
	}
	for n := range 64 {
		l.Clients = append(l.Clients, fleet.Client(0, n))
	}
	return l
}

// shedBy sums what the upstreams shed.
func shedBy(f *fleet.Fleet) uint64 {
	shed := uint64(0)
	for _, w := range f.Workers() {
		shed += w.Counts().Shed
	}
	return shed
}

// overload offers 1, 2 and 4 times what one hall can carry, with the retry
// budget and without any.
func overload(ctx context.Context, out *tabwriter.Writer) error {
	const slots, took, d = 4, 20 * time.Millisecond, 4 * time.Second
	const capacityPerSecond = 4 * slots * 50 // Four workers in the hall.
	_, _ = fmt.Fprintln(out, "OFFERED\tRETRIES\tGOODPUT/S\tNOT RUN/S\tP50 MS\tP99 MS\tTRIES SHED")
	for _, times := range []float64{1, 2, 4} {
		for _, unlimited := range []bool{false, true} {
			f, err := fleet.Start(small(fleet.ServicePlan{Name: service, Workers: 8, Slots: slots, Time: took}), fleet.Options{
				WarmStart: true, Daemon: func(c *daemon.Config) { c.Retry = retry.Config{Unlimited: unlimited, MaxAttempts: 10} },
			})
			if err != nil {
				return err
			}
			r := loadgen.Run(ctx, hallLoad(f, times*capacityPerSecond, d))
			shed := shedBy(f)
			f.Close()
			s := r.Kinds["read "+service]
			name := "budget"
			if unlimited {
				name = "unlimited"
			}
			_, _ = fmt.Fprintf(out, "%.0fx\t%s\t%.0f\t%.0f\t%.1f\t%.1f\t%d\n", times, name,
				float64(s.Answered)/d.Seconds(), float64(s.NotRun)/d.Seconds(), s.P50, s.P99, shed)
		}
	}
	return nil
}

// choice compares ways to choose a worker, with one worker four times slower
// and one with a cold cache.
func choice(ctx context.Context, out *tabwriter.Writer) error {
	const rounds, d = 3, 3 * time.Second
	choices := []struct {
		name string
		how  capacity.SelectionPolicy
	}{
		{"least loaded", capacity.LeastLoaded{}},
		{"two choices", capacity.TwoChoices{}},
		{"round robin", capacity.RoundRobin{}},
		{"random", capacity.Random{}},
	}
	p50, p99 := make([][]float64, len(choices)), make([][]float64, len(choices))
	for range rounds {
		for i, c := range choices {
			p := small(fleet.ServicePlan{Name: service, Workers: 8, Slots: 5, Time: 10 * time.Millisecond})
			p.Halls, p.VMs = 1, 1
			f, err := fleet.Start(p, fleet.Options{WarmStart: true, Daemon: func(cfg *daemon.Config) { cfg.Choice = c.how }})
			if err != nil {
				return err
			}
			f.Worker(service + "-1").SetFaults(standin.UpstreamFaults{Slow: 4})
			f.Worker(service + "-2").SetFaults(standin.UpstreamFaults{Slow: 2})
			r := loadgen.Run(ctx, hallLoad(f, 1200, d))
			f.Close()
			s := r.Kinds["read "+service]
			p50[i], p99[i] = append(p50[i], s.P50), append(p99[i], s.P99)
		}
	}
	_, _ = fmt.Fprintln(out, "CHOICE\tP50 MS\tP99 MS")
	for i, c := range choices {
		_, _ = fmt.Fprintf(out, "%s\t%.1f\t%.1f\n", c.name, median(p50[i]), median(p99[i]))
	}
	return nil
}

// lending compares the fixed split of a hall's upstreams between its VMs with
// sending on to the neighbor's idle slots, for even and for skewed callers.
func lending(ctx context.Context, out *tabwriter.Writer) error {
	const d = 4 * time.Second
	_, _ = fmt.Fprintln(out, "CALLERS\tSPLIT\tANSWERED\tNOT RUN\tP50 MS\tP99 MS\tOVERSHOOT")
	for _, skewed := range []bool{false, true} {
		for _, fixed := range []bool{true, false} {
			p := small(fleet.ServicePlan{Name: service, Workers: 8, Slots: 5, Time: 20 * time.Millisecond})
			p.Halls = 1
			f, err := fleet.Start(p, fleet.Options{WarmStart: true, Daemon: func(cfg *daemon.Config) { cfg.NoSpill = fixed }})
			if err != nil {
				return err
			}
			l := hallLoad(f, 1100, d)
			callers := "even"
			if skewed {
				callers = "9 of 10 at one VM"
				l.Pinned, l.PinnedPart = f.Entries("")[0], 0.9
			}
			r := loadgen.Run(ctx, l)
			shed := shedBy(f)
			f.Close()
			s := r.Kinds["read "+service]
			name := "idle slots lent"
			if fixed {
				name = "fixed"
			}
			_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%d\n", callers, name, s.Answered, s.NotRun, s.P50, s.P99, shed)
		}
	}
	return nil
}

// steps compares a shift in steps with one at once, onto cold caches.
func steps(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "SHIFT\tLEAST HEADROOM\tP50 MS\tP99 MS\tNOT RUN\tRETURNED HOME\tSECONDS TO 100%")
	for _, step := range []share.PPM{10 * share.Percent, share.Whole} {
		p := small(fleet.ServicePlan{Name: service, Workers: 8, Slots: 5, Time: 10 * time.Millisecond})
		f, err := fleet.Start(p, fleet.Options{})
		if err != nil {
			return err
		}
		if err := shiftOnce(ctx, f, step, out); err != nil {
			f.Close()
			return err
		}
		f.Close()
	}
	return nil
}

func shiftOnce(ctx context.Context, f *fleet.Fleet, step share.PPM, out *tabwriter.Writer) error {
	const d = 8 * time.Second
	from, to := f.Halls()[0], f.Halls()[1]
	op := f.Operator(f.VMs()[0])
	done := make(chan loadgen.Report, 1)
	go func() { done <- loadgen.Run(ctx, hallLoad(f, 600, d)) }()
	id, err := op.CarryOut(ctx, intent.Shift{Service: service, From: from, To: to, Share: share.Whole, Step: step})
	if err != nil {
		return err
	}
	began, reached, least := time.Now(), time.Duration(0), 1.0
	for time.Since(began) < d-time.Second {
		s, err := op.Status(ctx)
		if err != nil {
			return err
		}
		for _, h := range s.Halls {
			if v := h.Services[service]; h.Hall == to && v.Usable > 0 {
				least = min(least, float64(v.Usable-v.InUse)/float64(v.Usable))
			}
		}
		if m := op.Move(ctx, id); m != nil && m.Share == share.Whole && reached == 0 {
			reached = time.Since(began)
		}
		time.Sleep(50 * time.Millisecond) // The interval of the samples.
	}
	r := <-done
	s := r.Kinds["read "+service]
	home := 0
	for worker, w := range f.Workers() {
		if f.HallOf(worker) == from {
			home += w.Origin(from)
		}
	}
	_, _ = fmt.Fprintf(out, "steps of %s\t%.0f%%\t%.1f\t%.1f\t%d\t%d of %d\t%.1f\n", step, 100*least, s.P50, s.P99, s.NotRun, home, s.Sent, reached.Seconds())
	return nil
}

// stopping compares a planned stop with closing at once, uploads in flight.
func stopping(ctx context.Context, out *tabwriter.Writer) error {
	const uploads, slow = 6, 2 * time.Second
	_, _ = fmt.Fprintln(out, "STOP\tUPLOADS\tCUT OFF\tSECONDS\tFLOOR SECONDS")
	for _, planned := range []bool{true, false} {
		f, err := fleet.Start(small(fleet.ServicePlan{Name: service, Workers: 8, Slots: 5, Time: 10 * time.Millisecond}), fleet.Options{WarmStart: true})
		if err != nil {
			return err
		}
		vm := f.VMs()[0]
		host := f.Host(vm)
		results := make(chan loadgen.Result, uploads)
		for n := range uploads {
			c := loadgen.New(loadgen.Config{VMs: f.Entries(""), HTTP: loop, Client: fleet.Client(0, n)})
			go func() { results <- c.UploadTo(ctx, host.VM.Entry, service, 256<<10, slow) }()
		}
		if err := until(ctx, "uploads are under way", func() bool { return inFlight(f) == uploads }); err != nil {
			return err
		}
		name, took := "planned", time.Duration(0)
		if planned {
			took, err = f.StopVM(vm)
		} else {
			name = "at once"
			took, err = f.KillVM(vm)
		}
		if err != nil {
			return err
		}
		cut := 0
		for range uploads {
			if r := <-results; r.Told != loadgen.ToldAnswer {
				cut++
			}
		}
		f.Close()
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%.2f\t%.2f\n", name, uploads, cut, took.Seconds(), slow.Seconds())
	}
	return nil
}

func inFlight(f *fleet.Fleet) int {
	total := 0
	for _, w := range f.Workers() {
		total += w.InFlight()
	}
	return total
}
