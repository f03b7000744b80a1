// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// faults collects everything wrong with one object.
type faults struct {
	list []string
}

func (f *faults) add(field, format string, args ...any) {
	const most = 20
	if len(f.list) < most {
		f.list = append(f.list, field+": "+fmt.Sprintf(format, args...))
	}
}

func (f *faults) name(field, name string) {
	if !ValidName(name) {
		f.add(field, "%q: want 1 to 63 lower-case letters, digits and hyphens", name)
	}
}

func (f *faults) within(field string, value, least, most int64) {
	if value < least || value > most {
		f.add(field, "%d: allowed are %d to %d", value, least, most)
	}
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return errors.Wrap(ErrObject, strings.Join(f.list, "; "))
}
