// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ryehill/ryehill/internal/program"
)

// The sums of all VMs are added up; what is no such line is passed over.
func TestLossesAddsUpAllVMs(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", `{"time":"2026-12-02T10:00:02Z","msg":"ingress: losses","requests":100,"lost":[{"service":"s","cause":"busy","count":3}]}
{"time":"2026-12-02T10:00:02Z","msg":"ingress: request failed","request":"ingress: losses"}
not a line
`)
	b := write("b.log", `  2.01 vm-b {"time":"2026-12-02T10:00:04Z","msg":"ingress: losses","requests":50,"lost":[{"service":"s","cause":"busy","count":2},{"service":"t","cause":"late: slow","count":4}]}
`)
	var out bytes.Buffer
	command := program.Operator()
	command.Writer = &out
	if err := command.Run(context.Background(), []string{"ryehill", "losses", a, b}); err != nil {
		t.Fatal(err)
	}
	want := `150 requests in the seconds with losses, 9 lost

by cause
       5  busy
       4  late: slow

by service and cause
       5  s: busy
       4  t: late: slow

by second
       3  10:00:02
       6  10:00:04
`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
	if err := program.Operator().Run(context.Background(), []string{"ryehill", "losses", filepath.Join(dir, "none")}); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("a file that is not there: %v", err)
	}
}
