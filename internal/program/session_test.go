// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/loopback"
	"github.com/ryehill/ryehill/internal/program"
	"github.com/ryehill/ryehill/state/spec"
)

// patience bounds every wait for a condition in a session.
const patience = 30 * time.Second

func TestMain(m *testing.M) {
	run := func(name string, command func() *cli.Command) func() {
		return func() {
			if err := command().Run(context.Background(), os.Args); err != nil {
				fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
				os.Exit(program.ExitCode(err))
			}
		}
	}
	testscript.Main(m, map[string]func(){
		"ryehilld":        run("ryehilld", program.Daemon),
		"ryehill":         run("ryehill", program.Operator),
		"ryehill-standin": run("ryehill-standin", program.Standin),
		"ryehill-load":    run("ryehill-load", program.Load),
	})
}

var sessions atomic.Int64

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			// Each session has IP numbers of its own, so that none of its
			// fixed ports can be taken.
			n := int(sessions.Add(1))
			prefix := fmt.Sprintf("%s%d.", loopback.Network(), n)
			env.Setenv("NET", prefix)
			s := &session{net: prefix, procs: make(map[string]*exec.Cmd), dir: env.WorkDir}
			env.Values[sessionKey{}] = s
			env.Setenv("RYEHILL_TOKEN", "session-token")
			// Without this, each process of a race build sleeps 1 s at its end.
			env.Setenv("GORACE", noExitSleep)
			env.Setenv("RYEHILL_OPERATOR", prefix+"101:7200")
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":        cmdFleet,
			"vm":           cmdVM,
			"signal":       cmdSignal,
			"exits":        cmdExits,
			"await":        cmdAwait,
			"call":         cmdCall,
			"fault":        cmdFault,
			"runs":         cmdRuns,
			"holder":       cmdHolder,
			"other-holder": cmdHolder,
			"until-call":   cmdUntilCall,
			"worker":       cmdWorker,
			"both":         cmdBoth,
			"steps":        cmdSteps,
			"same":         cmdSame,
			"rogue":        cmdRogue,
			"garbage":      cmdGarbage,
			"half-upload":  cmdHalfUpload,
			"answered":     cmdAnswered,
			"capped":       cmdCapped,
			"match":        cmdMatch,
			"scrub":        cmdScrub,
		},
	})
}

const noExitSleep = "atexit_sleep_ms=0"

type sessionKey struct{}

// session is one script with the processes that it started.
type session struct {
	net        string
	dir        string
	procs      map[string]*exec.Cmd
	workers    map[string]string // address by worker id
	workerArgs []string
	vms        map[string]spec.VM
	order      []string
}

func of(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

func (s *session) close() {
	for _, p := range s.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

func (s *session) start(ts *testscript.TestScript, name, program string, args ...string) {
	path, err := exec.LookPath(program)
	ts.Check(err)
	logFile, err := os.Create(filepath.Join(s.dir, name+".log"))
	ts.Check(err)
	cmd := exec.Command(path, args...)
	cmd.Dir = s.dir
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "RYEHILL_TOKEN=session-token", "GORACE="+noExitSleep)
	ts.Check(cmd.Start())
	_ = logFile.Close()
	s.procs[name] = cmd
}

// fleet [slots=N] [time=D] [ttl=D]: starts a platform, two halls a and b with
// two VMs each, and the services lookup and pay with two workers in each hall.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	option := map[string]string{"slots": "5", "time": "5ms", "ttl": "500ms"}
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		option[name] = value
	}
	s.workers, s.vms = make(map[string]string), make(map[string]spec.VM)
	var ttl spec.Duration
	ts.Check(ttl.UnmarshalText([]byte(option["ttl"])))
	set := spec.Set{Objects: []spec.Object{
		spec.Encode(spec.Key{Kind: spec.KindFleet, Name: "main"}, &spec.Fleet{
			Halls: []spec.Hall{{Name: "a", Region: "west"}, {Name: "b", Region: "west"}}, LookupTTL: ttl, StepInterval: ttl,
			Links: []spec.Link{{From: "a", To: "b", BytesPerSecond: 10 << 20}},
		}),
		{Key: spec.Key{Kind: spec.KindBlocks, Name: "all"}, Spec: json.RawMessage(`{"halls":{"a":["10.1.0.0/16"],"b":["10.2.0.0/16"]}}`)},
	}}
	n := 10
	for _, service := range []string{"lookup", "pay"} {
		object := &spec.Service{Essential: service == "pay"}
		for _, hall := range []string{"a", "b"} {
			for i := 1; i <= 2; i++ {
				id := fmt.Sprintf("%s-%s%d", service, hall, i)
				n++
				s.workers[id] = fmt.Sprintf("%s%d:8000", s.net, n)
				var slots int
				_, err := fmt.Sscan(option["slots"], &slots)
				ts.Check(err)
				object.Workers = append(object.Workers, spec.Worker{ID: id, Hall: hall, Address: s.workers[id], Slots: slots})
				s.workerArgs = []string{"--slots", option["slots"], "--time", option["time"], "--warm"}
				s.startWorker(ts, id)
			}
		}
		set.Objects = append(set.Objects, spec.Encode(spec.Key{Kind: spec.KindService, Name: service}, object))
	}
	list := spec.VMList{}
	for i, id := range []string{"a1", "a2", "b1", "b2"} {
		ip := fmt.Sprintf("%s%d", s.net, 101+i)
		s.vms[id] = spec.VM{ID: id, Hall: id[:1], Entry: ip + ":7000", Peer: ip + ":7100", State: spec.VMLive}
		s.order = append(s.order, id)
		list.VMs = append(list.VMs, s.vms[id])
		ts.Setenv("ENTRY_"+strings.ToUpper(id), ip+":7000")
		ts.Setenv("OPERATOR_"+strings.ToUpper(id), ip+":7200")
	}
	ts.Check(writeJSON(filepath.Join(s.dir, "config.json"), set))
	ts.Check(writeJSON(filepath.Join(s.dir, "vms.json"), list))
	s.start(ts, "platform", "ryehill-standin", "platform", "--listen", s.net+"1:9000", "--config", "config.json", "--vms", "vms.json")
	for id := range s.workers {
		s.waitAnswers(ts, id)
	}
	for _, id := range s.order {
		s.startVM(ts, id)
	}
	for _, id := range s.order {
		s.waitReady(ts, id)
	}
}

func writeJSON(name string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(name, body, 0o600)
}

func (s *session) startVM(ts *testscript.TestScript, id string, more ...string) {
	vm := s.vms[id]
	operator := strings.Replace(vm.Entry, ":7000", ":7200", 1)
	s.start(ts, id, "ryehilld", append([]string{
		"--fleet", "session", "--hall", vm.Hall, "--vm", id, "--entry", vm.Entry, "--peer", vm.Peer, "--operator", operator,
		"--platform", s.net + "1:9000", "--trusted-callers", "127.0.0.0/8",
		"--report-interval", "300ms", "--control-interval", "100ms", "--poll-interval", "300ms",
	}, more...)...)
}

// waitAnswers waits until a worker listens: a VM that finds it gone takes its slots
// out of use, which a session would take for its own doing.
func (s *session) waitAnswers(ts *testscript.TestScript, id string) {
	until(ts, "worker "+id+" answers", func() bool {
		status, _, _ := fetch(http.MethodGet, "http://"+s.workers[id]+"/counts", nil, nil)
		return status == http.StatusOK
	})
}

func (s *session) waitReady(ts *testscript.TestScript, id string) {
	url := "http://" + strings.Replace(s.vms[id].Entry, ":7000", ":7200", 1) + "/readyz"
	until(ts, "VM "+id+" is ready", func() bool {
		status, _, _ := fetch(http.MethodGet, url, nil, nil)
		return status == http.StatusOK
	})
}

// until waits for a condition.
func until(ts *testscript.TestScript, what string, condition func() bool) {
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("not within %s: %s", patience, what)
		}
	}
}

func fetch(method, url string, header http.Header, body io.Reader) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	for name, values := range header {
		req.Header[name] = values
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, []byte("no answer")
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return res.StatusCode, res.Header, []byte("broken answer")
	}
	return res.StatusCode, res.Header, answer
}
