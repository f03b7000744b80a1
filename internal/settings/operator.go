// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"github.com/urfave/cli/v3"
)

// OperatorFlags are the flags by which ryehill reaches the operators' API.
func OperatorFlags() []cli.Flag {
	return []cli.Flag{
		text("operator", "operator IP:port of a VM, or several with commas between"),
		text("token", "bearer token"),
		text("ca", "PEM certificates that sign the VMs; switches TLS on"),
	}
}
