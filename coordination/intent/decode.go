// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrapf(ErrInvalidIntent, "%v", err)
	}
	return nil
}
