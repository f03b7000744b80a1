#!/bin/sh
# Builds the stand-ins of the review's scripts into target/. Run it from the repository's root,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for file in review/standins/*.go.txt; do
    cp "$file" "$sources/$(basename "$file" .txt)"
done
mkdir -p target
go build -o target/review-standins "$sources"/*.go
