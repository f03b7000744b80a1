#!/usr/bin/env bash
# Copyright 2026 The ryehill Authors
# SPDX-License-Identifier: Apache-2.0
#
# Fails if a name of the users' platform stands in a source outside platform/,
# which alone knows them (docs/design/platform.md).
set -euo pipefail
cd "$(dirname "$0")/.."
names='Request-Deadline-Ms|Target-Instance|Response-Signature|Affinity-Key|Not-Executed|Server-Load|Server-Leaving|Server-Limit|Store-Era|pathPrefix|trafficSplit|coldLeft|callSeq|configVersion'
if git grep -nE "$names" -- '*.go' ':!platform/'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
