// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// violations collects the validation errors of one object.
type violations struct {
	list []string
}

func (f *violations) addf(field, format string, args ...any) {
	const maxListed = 20
	if len(f.list) < maxListed {
		f.list = append(f.list, field+": "+fmt.Sprintf(format, args...))
	}
}

func (f *violations) checkName(field, name string) {
	if !ValidName(name) {
		f.addf(field, "%q: want 1 to 63 lower-case letters, digits and hyphens", name)
	}
}

func (f *violations) checkRange(field string, value, lowest, highest int64) {
	if value < lowest || value > highest {
		f.addf(field, "%d: allowed are %d to %d", value, lowest, highest)
	}
}

func (f *violations) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalidObject, strings.Join(f.list, "; "))
}
