// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ryehill/ryehill/state/spec"
)

// vm ID: starts a VM again. With !, it does not wait until it is ready.
func cmdVM(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	s.startVM(ts, args[0], args[1:]...)
	if !neg {
		s.waitReady(ts, args[0])
	}
}

// signal NAME STOP|CONT|KILL|TERM; KILL waits for the end.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM}
	p := of(ts).procs[args[0]]
	ts.Check(p.Process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		_ = p.Wait()
		delete(of(ts).procs, args[0])
	}
}

// exits NAME: waits until a process has ended, with exit code 0.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	ended := make(chan error, 1)
	go func() { ended <- s.procs[args[0]].Wait() }()
	select {
	case err := <-ended:
		ts.Check(err)
		delete(s.procs, args[0])
	case <-time.After(patience):
		ts.Fatalf("%s has not ended within %s", args[0], patience)
	}
}

// await PATTERN PROGRAM ARGS: runs a program until its output matches, or with
// ! until it no longer does. If it never does, the log has what was put out.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile("(?s)" + args[0])
	var out []byte
	var seen outputs
	matched := false
	defer func() {
		if !matched {
			ts.Logf("what was put out instead, first of all:\n%s", seen.String())
		}
	}()
	until(ts, strings.Join(args, " "), func() bool {
		cmd := exec.Command(args[1], args[2:]...)
		cmd.Dir = of(ts).dir
		cmd.Env = append(os.Environ(), "GORACE="+noExitSleep, "RYEHILL_TOKEN="+ts.Getenv("RYEHILL_TOKEN"), "RYEHILL_OPERATOR="+ts.Getenv("RYEHILL_OPERATOR"))
		out, _ = cmd.CombinedOutput()
		seen.add(string(out))
		matched = pattern.Match(out) != neg
		return matched
	})
	_, _ = ts.Stdout().Write(out)
}

// maxOutputs bounds the outputs that are kept of one await.
const maxOutputs = 40

// outputs are the first outputs of a program that is run again and again, without
// those that repeat the one before.
type outputs struct {
	last string
	kept []string
}

func (o *outputs) add(out string) {
	if out == o.last || len(o.kept) >= maxOutputs {
		return
	}
	o.last = out
	o.kept = append(o.kept, time.Now().Format(time.TimeOnly+".000")+"\n"+out)
}

func (o *outputs) String() string { return strings.Join(o.kept, "\n") }

// call VM METHOD PATH [Name:value...] [body=text]: sends one request to a VM
// and prints what a caller sees of it. SERVICE/x stands for /v1/run/SERVICE/x.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = ts.Stdout().Write(of(ts).call(args))
}

// until-call VM PATTERN METHOD PATH ...: calls until the output matches.
func cmdUntilCall(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])
	var out []byte
	until(ts, "call answers "+args[1], func() bool {
		out = of(ts).call(append([]string{args[0]}, args[2:]...))
		return pattern.Match(out)
	})
	_, _ = ts.Stdout().Write(out)
}

func (s *session) call(args []string) []byte {
	path := args[2]
	if !strings.HasPrefix(path, "/") {
		path = "/v1/run/" + path
	}
	header := http.Header{"Ryehill-Client": {"10.1.2.3"}}
	var body io.Reader
	for _, a := range args[3:] {
		if text, ok := strings.CutPrefix(a, "body="); ok {
			body = strings.NewReader(text)
			continue
		}
		name, value, _ := strings.Cut(a, ":")
		header.Set(name, value)
	}
	status, answered, answer := fetch(args[1], "http://"+s.vms[args[0]].Entry+path, header, body)
	return fmt.Appendf(nil, "%d %s\ndecision %s\n%s\n", status, answered.Get("Ryehill-Outcome"), answered.Get("Ryehill-Decision"), bytes.TrimSpace(answer))
}

func (s *session) startWorker(ts *testscript.TestScript, id string) {
	s.start(ts, id, "ryehill-standin", append([]string{"upstream", "--listen", s.workers[id], "--id", id}, s.workerArgs...)...)
}

// worker ID: starts a worker again.
func cmdWorker(ts *testscript.TestScript, _ bool, args []string) { of(ts).startWorker(ts, args[0]) }

// both VAR VM PLAN VAR VM PLAN: confirms two plans at the same moment and checks
// that exactly one is accepted and the other told to plan again.
func cmdBoth(ts *testscript.TestScript, _ bool, args []string) {
	answers := make(chan int, 2)
	for _, a := range [][]string{args[1:3], args[4:6]} {
		go func() {
			url := "http://" + strings.Replace(of(ts).vms[a[0]].Entry, ":7000", ":7200", 1) + "/v1/plans/" + a[1] + "/confirm"
			status, _, _ := fetch(http.MethodPost, url, http.Header{"Authorization": {"Bearer session-token"}}, nil)
			answers <- status
		}()
	}
	first, second := <-answers, <-answers
	if min(first, second) != http.StatusOK || max(first, second) != http.StatusConflict {
		ts.Fatalf("confirms were answered %d and %d, want 200 and 409", first, second)
	}
}

// steps MOVE PERCENT: checks that no step of a move was larger, and none went back.
func cmdSteps(ts *testscript.TestScript, _ bool, args []string) {
	var o struct {
		Spec spec.Traffic `json:"spec"`
	}
	_, _, answer := fetch(http.MethodGet, "http://"+of(ts).net+"1:9000/v1/objects/traffic/main", nil, nil)
	ts.Check(json.Unmarshal(answer, &o))
	for _, m := range o.Spec.Moves {
		for i := 1; m.ID == args[0] && i < len(m.History); i++ {
			before, after := m.History[i-1].Share, m.History[i].Share
			if after < before || fmt.Sprint((after-before)/10_000) > args[1] {
				ts.Fatalf("a step from %s to %s", before, after)
			}
		}
	}
}

func cmdSame(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] != args[1] {
		ts.Fatalf("%s is not %s", args[0], args[1])
	}
}

// rogue: starts a VM of another fleet that knows VM a1.
func cmdRogue(ts *testscript.TestScript, _ bool, _ []string) {
	s := of(ts)
	ip := s.net + "120"
	s.start(ts, "rogue", "ryehilld", "--fleet", "other", "--hall", "a", "--vm", "rogue", "--entry", ip+":7000",
		"--peer", ip+":7100", "--operator", ip+":7200", "--platform", ip+":9000", "--seeds", "a1="+s.vms["a1"].Peer)
}

// half-upload VM PATH: announces an upload, sends a part of it and goes away.
func cmdHalfUpload(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", of(ts).vms[args[0]].Entry)
	ts.Check(err)
	_, err = fmt.Fprintf(conn, "PUT /v1/run/%s HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n%s", args[1], strings.Repeat("x", 100_000))
	ts.Check(err)
	_ = conn.Close()
}

// garbage VM: sends a peer listener what is no hello, and a hello that is cut off.
func cmdGarbage(ts *testscript.TestScript, _ bool, args []string) {
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\x01", "\x05\x0a"} {
		conn, err := net.Dial("tcp", of(ts).vms[args[0]].Peer)
		ts.Check(err)
		_, _ = conn.Write([]byte(bytes))
		_ = conn.Close()
	}
}

// fault NAME JSON: tells the platform or a worker which faults to show.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	address := s.net + "1:9000"
	if args[0] != "platform" {
		address = s.workers[args[0]]
	}
	status, _, answer := fetch(http.MethodPut, "http://"+address+"/control/faults", nil, strings.NewReader(args[1]))
	if status != http.StatusOK {
		ts.Fatalf("fault %s: %d %s", args[0], status, answer)
	}
}

// runs KEY N: checks how often a key was run by all workers that live.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for id, address := range of(ts).workers {
		if _, ok := of(ts).procs[id]; !ok {
			continue
		}
		var counts struct {
			Runs map[string]int `json:"runs"`
		}
		_, _, answer := fetch(http.MethodGet, "http://"+address+"/counts", nil, nil)
		ts.Check(json.Unmarshal(answer, &counts))
		total += counts.Runs[args[0]]
	}
	if fmt.Sprint(total) != args[1] {
		ts.Fatalf("key %s was run %d times, want %s", args[0], total, args[1])
	}
}

// holder VAR [NOT]: sets a variable to the VM that holds the controller's lease,
// once that is not the VM named.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	var lease struct {
		Spec struct {
			Holder string `json:"holder"`
		} `json:"spec"`
	}
	until(ts, "a VM holds the lease", func() bool {
		_, _, answer := fetch(http.MethodGet, "http://"+of(ts).net+"1:9000/v1/objects/lease/controller", nil, nil)
		return json.Unmarshal(answer, &lease) == nil && lease.Spec.Holder != "" && (len(args) == 1 || lease.Spec.Holder != args[1])
	})
	ts.Setenv(args[0], lease.Spec.Holder)
}

// answered VAR WORKER: sets a variable to how many requests a worker answered.
func cmdAnswered(ts *testscript.TestScript, _ bool, args []string) {
	var counts struct {
		Answered int `json:"answered"`
	}
	_, _, answer := fetch(http.MethodGet, "http://"+of(ts).workers[args[1]]+"/counts", nil, nil)
	ts.Check(json.Unmarshal(answer, &counts))
	ts.Setenv(args[0], fmt.Sprint(counts.Answered))
}

var routed = regexp.MustCompile(`ryehill_routed_total\{rule="([a-z-]+)",service="lookup"\} (\d+)`)

// capped PERCENT LEAST VM...: checks by the VMs' counters that at least LEAST
// requests of lookup were moved, and no more than PERCENT of all.
func cmdCapped(ts *testscript.TestScript, _ bool, args []string) {
	var limit, least, total, moved int
	_, err := fmt.Sscan(args[0]+" "+args[1], &limit, &least)
	ts.Check(err)
	for _, vm := range args[2:] {
		_, _, answer := fetch(http.MethodGet, "http://"+strings.Replace(of(ts).vms[vm].Entry, ":7000", ":7200", 1)+"/metrics", nil, nil)
		for _, m := range routed.FindAllStringSubmatch(string(answer), -1) {
			var n int
			_, err := fmt.Sscan(m[2], &n)
			ts.Check(err)
			total += n
			if m[1] == "move" {
				moved += n
			}
		}
	}
	if moved < least || moved*100 > limit*total {
		ts.Fatalf("moved %d of %d requests; want %d at least, %d %% at most", moved, total, least, limit)
	}
}

// match VAR PATTERN: sets a variable to the first group of a match in the last
// output.
func cmdMatch(ts *testscript.TestScript, _ bool, args []string) {
	found := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		ts.Fatalf("no match of %q in\n%s", args[1], ts.ReadFile("stdout"))
	}
	ts.Setenv(args[0], found[1])
}

var volatile = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`\bp[0-9a-f]{10}\b`), "PLAN"},
	{regexp.MustCompile(`127\.\d+\.\d+\.(\d+)`), "NET.$1"},
	{regexp.MustCompile(`\b(a1|a2|b1|b2)\.[0-9a-z]+\.[0-9a-z]+(\.[0-9a-f]{24})?`), "$1.ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z|\d\d:\d\d:\d\d\.\d+`), "TIME"},
	{regexp.MustCompile(`(?i)(generation|version|edit) \d+`), "$1 N"},
	{regexp.MustCompile(`\d+(\.\d+)?(ms|µs|s) old`), "MS old"},
	{regexp.MustCompile(`\d+(\.\d+)?(ms|µs)\b`), "MS"},
	{regexp.MustCompile(`usable \d+, in use \d+, lent \d+, waiting \d+`), "usable N, in use N, lent N, waiting N"},
	{regexp.MustCompile(`(lookup|pay)-([ab])\d`), "$1-$2"},
	{regexp.MustCompile(`at VM \w+`), "at VM V"},
	{regexp.MustCompile(`B/s +\d+ +\d+`), "B/s  N  N"},
	{regexp.MustCompile(`busy \d\.\d`), "busy N"},
}

// scrub FILE: writes the last output to a file without what differs between
// runs. Compare it with cmp; with UPDATE_GOLDEN set, cmp writes the golden file.
func cmdScrub(ts *testscript.TestScript, _ bool, args []string) {
	got := ts.ReadFile("stdout")
	for _, v := range volatile {
		got = v.pattern.ReplaceAllString(got, v.text)
	}
	got = regexp.MustCompile(`[ \t]+\n`).ReplaceAllString(got, "\n")
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(got), 0o600))
}
