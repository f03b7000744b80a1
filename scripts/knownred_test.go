// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// sampleTests has one test with two cases that fail, and one that passes.
const sampleTests = `package sample

import "testing"

func TestTwo(t *testing.T) {
	t.Run("first case, errors", func(t *testing.T) { t.Error("first fails") })
	t.Run("second (case)", func(t *testing.T) { t.Error("second fails") })
}

func TestTwoMore(t *testing.T) {}
`

// Guards against an entry of one case that hides failures of the test's other cases.
func TestKnownRedCaseHidesNoOtherCase(t *testing.T) {
	cases := map[string]struct {
		list  string
		fails bool
		shows string
	}{
		"no entry":             {"", true, "first fails"},
		"one case":             {"TestTwo/first_case,_errors: seen once (go test: 1 of 2); issue 1\n", true, "second fails"},
		"other case":           {"TestTwo/second (case): seen once; issue 1\n", true, "first fails"},
		"both cases":           {"TestTwo/first_case,_errors: seen; issue 1\nTestTwo/second_(case): seen; issue 1\n", false, "ok"},
		"whole test":           {"TestTwo: seen; issue 1\n", false, "ok"},
		"begin of a name":      {"TestT: seen; issue 1\nTestTwo/first: seen; issue 1\n", true, "second fails"},
		"test that is no case": {"TestTwo/third: seen; issue 1\n", true, "first fails"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for file, text := range map[string]string{
				"go.mod": "module sample\n", "sample_test.go": sampleTests, "KNOWN-RED.txt": c.list,
			} {
				if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			pattern, err := exec.Command("./known-red.sh", filepath.Join(dir, "KNOWN-RED.txt")).Output()
			if err != nil {
				t.Fatal(err)
			}
			args := []string{"test"}
			if skip := strings.TrimSpace(string(pattern)); skip != "" {
				args = append(args, "-skip", skip)
			}
			cmd := exec.Command("go", args...)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err != nil) != c.fails || !strings.Contains(string(out), c.shows) {
				t.Errorf("failed %t, want %t, with %q: %s", err != nil, c.fails, c.shows, out)
			}
		})
	}
}
