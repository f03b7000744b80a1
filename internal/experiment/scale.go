// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

// big is a fleet of the target's regions and halls with some VMs in each hall.
func big(vms int) fleet.Plan {
	p := fleet.Plan{
		Name: "scale", Halls: 3, VMs: vms, TTL: time.Second, Step: time.Second,
		BetweenHalls: time.Millisecond, BetweenRegions: 20 * time.Millisecond,
		Services: []fleet.ServicePlan{{Name: service, Workers: 42, Slots: 5, Time: 5 * time.Millisecond}},
	}
	for i := range 7 {
		p.Regions = append(p.Regions, fmt.Sprintf("region%d", i+1))
	}
	return p
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// scale runs 21 halls with more and more VMs in one process and measures what
// control costs each daemon while nothing happens and while moves step, and how
// long a change of configuration takes to be in force at all.
func scale(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "DAEMONS\tSTATE\tCORE PART EACH\tBYTES/S EACH\tPLATFORM CALLS/S\tIN FORCE AT ALL, S (MEDIAN OF 5)\tHEAP MB EACH")
	for _, vms := range []int{2, 5, 10} {
		if err := scaleOnce(ctx, vms, out); err != nil {
			return err
		}
		// Each size takes half a minute; show it once it is there.
		if err := out.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func scaleOnce(ctx context.Context, vms int, out *tabwriter.Writer) error {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f, err := fleet.Start(big(vms), fleet.Options{WarmStart: true, ProductIntervals: true})
	if err != nil {
		return err
	}
	defer f.Close()
	const settle, window = 5 * time.Second, 10 * time.Second
	time.Sleep(settle) // Start-up is not what is measured.
	n := float64(len(f.VMs()))
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / n / (1 << 20)
	idle := sample(f, window)
	force, err := inForce(ctx, f)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%.0f\tidle\t%.2f%%\t%.0f\t%.1f\t%.2f\t%.2f\n", n, 100*idle.cpu/n, idle.bytes/n, idle.calls, force, heap)
	// Each hall of the first half moves a tenth to one of the second half.
	halls := f.Halls()
	op := f.Operator(f.VMs()[0])
	for i := range movesAtOnce {
		if _, err := op.CarryOut(ctx, intent.Shift{Service: service, From: halls[i], To: halls[movesAtOnce+i], Share: 10 * share.Percent}); err != nil {
			return err
		}
	}
	busy := sample(f, window)
	_, _ = fmt.Fprintf(out, "%.0f\t%d moves\t%.2f%%\t%.0f\t%.1f\t\t\n", n, movesAtOnce, 100*busy.cpu/n, busy.bytes/n, busy.calls)
	return nil
}

// movesAtOnce is how many moves step while the busy cost is measured.
const movesAtOnce = 10

type cost struct{ cpu, bytes, calls float64 }

func sample(f *fleet.Fleet, window time.Duration) cost {
	calls := func() int {
		total := 0
		for _, n := range f.Platform().Calls() {
			total += n
		}
		return total
	}
	c, b, p := cpu(), f.Network().Total(), calls()
	time.Sleep(window)
	s := window.Seconds()
	return cost{cpu: (cpu() - c).Seconds() / s, bytes: float64(f.Network().Total()-b) / s, calls: float64(calls()-p) / s}
}

// inForce measures from the acceptance of a change until every daemon has it.
func inForce(ctx context.Context, f *fleet.Fleet) (float64, error) {
	var all []float64
	for i := range 5 {
		version, err := f.Operator(f.VMs()[0]).Apply(ctx, spec.Object{
			Key:  spec.Key{Kind: spec.KindBlocks, Name: "more"},
			Spec: fmt.Appendf(nil, `{"halls":{%q:["10.200.%d.0/24"]}}`, f.Halls()[0], i),
		})
		if err != nil {
			return 0, err
		}
		began := time.Now()
		if err := until(ctx, "change in force", func() bool { return f.LeastGeneration() >= version }); err != nil {
			return 0, err
		}
		all = append(all, time.Since(began).Seconds())
	}
	return median(all), nil
}

// table loads a steering table of several sizes as a daemon does, from objects,
// and changes one part of a hundred.
func table(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "BLOCKS\tSITES\tOBJECTS MB\tLOAD MS\tCHANGE OF 1% MS\tHEAP MB\tLOOK-UPS/S A CORE\tNS EACH")
	for _, n := range []int{28_000, 140_000, 280_000} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		tableOnce(n, out)
	}
	return nil
}

const (
	blockObjects = 100
	tableHalls   = 21
	tableSites   = 190
)

// blockSet makes objects of /24 blocks; a version moves the blocks of the first.
func blockSet(blocks, version int) []spec.Object {
	objects := make([]spec.Object, 0, blockObjects+tableSites/tableHalls+2)
	per := blocks / blockObjects
	for o := range blockObjects {
		shift := 0
		if o == 0 { // One object of a hundred changes.
			shift = version
		}
		b := &spec.Blocks{Halls: make(map[string][]netip.Prefix)}
		for i := range per {
			k := o*per + i
			hall := fmt.Sprintf("hall-%d", (k*7+shift)%tableHalls)
			address := netip.AddrFrom4([4]byte{byte(20 + k>>16), byte(k >> 8), byte(k), 0})
			b.Halls[hall] = append(b.Halls[hall], netip.PrefixFrom(address, 24))
		}
		object := spec.Encode(spec.Key{Kind: spec.KindBlocks, Name: fmt.Sprintf("part-%d", o)}, b)
		object.Version = uint64(o + 1 + shift*blockObjects)
		objects = append(objects, object)
	}
	for s := range tableSites/tableHalls + 1 {
		object := &spec.Service{}
		for h := range tableHalls {
			object.Workers = append(object.Workers, spec.Worker{
				ID: fmt.Sprintf("s%d-%d", s, h), Hall: fmt.Sprintf("hall-%d", h), Address: "10.0.0.1:80", Slots: 5,
			})
		}
		objects = append(objects, spec.Encode(spec.Key{Kind: spec.KindService, Name: fmt.Sprintf("s%d", s)}, object))
	}
	return objects
}

func tableOnce(n int, out *tabwriter.Writer) {
	objects, changed := blockSet(n, 0), blockSet(n, 1)
	size := 0
	for _, o := range objects {
		size += len(o.Spec)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	v, _ := view.Compile(1, objects, nil)
	loaded := time.Since(began)
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / (1 << 20)
	began = time.Now()
	next, _ := view.Compile(2, changed, v)
	change := time.Since(began)
	const lookups = 4_000_000
	began = time.Now()
	i := uint32(1)
	for range lookups {
		i = i*1664525 + 1013904223
		next.Home(netip.AddrFrom4([4]byte{byte(20 + i>>30), byte(i >> 16), byte(i >> 8), byte(i)}))
	}
	each := time.Since(began) / lookups
	_, _ = fmt.Fprintf(out, "%d\t%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f million\t%d\n", v.Table().Blocks(), tableSites, float64(size)/(1<<20),
		float64(loaded.Microseconds())/1000, float64(change.Microseconds())/1000,
		held, 1e3/float64(each.Nanoseconds()), each.Nanoseconds())
	runtime.KeepAlive(v)
	runtime.KeepAlive(objects)
	runtime.KeepAlive(changed)
}
