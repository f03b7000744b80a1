// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// sendPopular sends the same request with another affinity key, and reports whether it was
// served. It must run at most once.
func (f *isolationFleet) sendPopular(v *vm, key int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), isolationClientTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.ingressAddr+"/once/popular", nil)
	req.Host = isolationHost
	req.Header.Set("Id", "popular-"+v.name+"-"+strconv.Itoa(key))
	req.Header.Set("Affinity", strconv.Itoa(key))
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against quarantining a request that many clients send, since the path of a VM was lost
// and came back before the VM noticed.
func TestConnectionsLostAtOnceBlameNoRequest(t *testing.T) {
	const (
		vms, workers, requests = 3, 9, 24
		// silence is shorter than a VM needs to notice it.
		silence = 500 * time.Millisecond
		// settled is how long after the loss a quarantine would have begun.
		settled = time.Second
	)
	t.Parallel()
	f := startIsolationFleet(t, vms, workers)
	v, path := f.vms[0], f.paths[0]
	path.setMode(isolatedBySilentAccept)
	var pending sync.WaitGroup
	for i := range requests {
		pending.Go(func() { f.sendPopular(v, i) })
	}
	time.Sleep(silence)
	path.setMode(isolatedByReset)
	path.setMode(notIsolated)
	pending.Wait()
	time.Sleep(settled)
	for _, other := range f.vms {
		if n := other.QuarantineCount(); n > 0 {
			t.Errorf("%s holds %d requests in quarantine, though none ended a worker", other.name, n)
		}
	}
	if !f.sendPopular(v, requests) {
		t.Error("the request is not served after the loss")
	}
}
