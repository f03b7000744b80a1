// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/internal/loadgen"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/transport/entry"
)

// way is one path of the same request.
type way struct {
	name string
	url  string
	// client is whose request it is.
	client string
}

// overhead compares a request sent straight to an upstream with the same one
// through one VM, and through a VM of each of two halls.
func overhead(ctx context.Context, out *tabwriter.Writer) error {
	const service, rounds, each, workers = "read", 7, 700 * time.Millisecond, 4
	f, err := fleet.Start(small(fleet.ServicePlan{Name: service, Workers: 8, Slots: 16, Time: 2 * time.Millisecond}), fleet.Options{WarmStart: true})
	if err != nil {
		return err
	}
	defer f.Close()
	from, to := f.Halls()[0], f.Halls()[1]
	if _, err := f.Operator(f.VMs()[0]).CarryOut(ctx, intent.Shift{Service: service, From: to, To: from, Share: share.Whole, Step: share.Whole}); err != nil {
		return err
	}
	ways := []way{
		{"straight to the upstream", "http://" + f.WorkerAddress(service+"-1"), ""},
		{"one VM", "http://" + f.Entries(from)[0] + entry.RunPrefix + service, fleet.Client(0, 1).String()},
		{"two VMs of two halls", "http://" + f.Entries(to)[0] + entry.RunPrefix + service, fleet.Client(1, 1).String()},
	}
	if err := until(ctx, "requests move", func() bool { return moved(ctx, ways[2]) }); err != nil {
		return err
	}
	kinds := []struct {
		name, method string
		body         []byte
	}{{"read of 2 kB", http.MethodGet, nil}, {"upload of 256 kB", http.MethodPut, bytes.Repeat([]byte("x"), 256<<10)}}
	_, _ = fmt.Fprintln(out, "REQUEST\tWAY\tP50 MS\tP99 MS\tP50 ADDED MS\tP99 ADDED MS")
	for _, k := range kinds {
		p50, p99 := make([][]float64, len(ways)), make([][]float64, len(ways))
		for range rounds {
			for i, w := range ways { // Side by side in each round.
				t, err := closedLoop(ctx, w, k.method, k.body, workers, each)
				if err != nil {
					return err
				}
				p50[i], p99[i] = append(p50[i], t.millis(50)), append(p99[i], t.millis(99))
			}
		}
		for i, w := range ways {
			a, b := median(p50[i]), median(p99[i])
			_, _ = fmt.Fprintf(out, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\n", k.name, w.name, a, b, a-median(p50[0]), b-median(p99[0]))
		}
	}
	return lookups(ctx, out, f)
}

var loop = loadgen.NewHTTP(nil)

func moved(ctx context.Context, w way) bool {
	_, ran, err := send(ctx, w, http.MethodGet, nil)
	return err == nil && ran
}

// send sends one request and returns its status and whether an upstream ran it.
func send(ctx context.Context, w way, method string, body []byte) (status int, ran bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, w.url+"/x?size=2048", bytes.NewReader(body))
	if err != nil {
		return 0, false, err
	}
	if w.client != "" {
		req.Header.Set(outcome.HeaderClient, w.client)
	}
	res, err := loop.Do(req)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get(outcome.HeaderOutcome) == string(outcome.Ran), err
}

// closedLoop sends one request after the other from several clients.
func closedLoop(ctx context.Context, w way, method string, body []byte, clients int, d time.Duration) (*times, error) {
	t := newTimes()
	var wg sync.WaitGroup
	failures := make(chan error, clients)
	end := time.Now().Add(d)
	for range clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				status, _, err := send(ctx, w, method, body)
				if err == nil && status != http.StatusOK {
					err = errors.Newf("%s: status %d", w.name, status)
				}
				if err != nil {
					failures <- err
					return
				}
				t.add(time.Since(began))
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failures:
		return nil, err
	default:
		return t, nil
	}
}

// lookups measures look-ups over HTTP from the client's side.
func lookups(ctx context.Context, out *tabwriter.Writer, f *fleet.Fleet) error {
	url := "http://" + f.Entries("")[0] + "/v1/lookup?service=read&client=" + fleet.Client(0, 1).String() + "&"
	t, err := closedLoop(ctx, way{name: "look-up", url: url + "path="}, http.MethodGet, nil, 4, 2*time.Second)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "look-up\tany VM\t%.2f\t%.2f\t\t\n", t.millis(50), t.millis(99))
	return nil
}
