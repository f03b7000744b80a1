#!/usr/bin/env bash
# Copyright 2026 The ryehill Authors
# SPDX-License-Identifier: Apache-2.0
#
# Builds the stand-ins of the second review, target/review-2, with the standard library alone.
# The sources end in .txt, so that no check of the repository takes them for its own.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for source in review/standins-2/*.go.txt; do
  name=$(basename "$source" .txt)
  cp "$source" "$folder/$name"
done
printf 'module review2\n\ngo 1.26\n' >"$folder/go.mod"
mkdir -p target
cd "$folder"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o "$root/target/review-2" .
