# Copyright 2026 The ryehill Authors
# SPDX-License-Identifier: Apache-2.0

# Tools are built from the tools module, so that they do not weigh on go.mod.
BIN := $(CURDIR)/bin
LINT := $(BIN)/golangci-lint
GOPLS := $(BIN)/gopls

.PHONY: all build check test race lint format generate bench fuzz soak gopls

all: check test

build:
	go build -o $(BIN)/ ./cmd/...

$(LINT): tools/go.mod tools/go.sum
	cd tools && go build -o $(BIN)/ github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# Renames identifiers: bin/gopls rename -w FILE:LINE:COLUMN NEW. It has a module of
# its own, since it needs an older golang.org/x/tools than the linter.
gopls: $(GOPLS)

$(GOPLS): tools/gopls/go.mod tools/gopls/go.sum
	cd tools/gopls && go build -o $(GOPLS) golang.org/x/tools/gopls

check: $(LINT)
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || (gofmt -l $$(git ls-files '*.go'); exit 1)
	scripts/check-names.sh
	go mod verify
	go vet ./...
	$(LINT) run ./...

# One package after the other: several run whole fleets, and a machine that is
# short of processor time makes them refuse what they would else carry. For the
# same reason four tests of a package run at a time: a session starts 13 processes.
# The soak, and the gateway's tests of a store that returns from a copy, run apart from the
# others of their packages, and so do the tests of rollouts and of a store that turns VMs
# away, those of VMs that reach no worker, and the soak's seeds without the store, so that each
# run stays within the time limit.
# The environment's SKIP is a pattern of tests and cases that are left out; CI sets it from
# KNOWN-RED.txt. It is left to the shell, since make would expand its dollar signs.
TEST := go test -race -p 1 -parallel 4 -timeout 8m
SEEDS_WITHOUT_STORE := ^TestSoakWorkersReturnWithoutStore
RETURNS := FromCop|NewEra|GoesBack|WrittenAgain
SOAK := ^TestSoak
ORDERS := ^TestSoak.*Order|^TestOrders|VersionIs|TurnsSomeVMsAway
ISOLATIONS := Isolat|Forwarded|NoVMReachesWorkers
NOT := $${SKIP:+|$$SKIP}
test:
	$(TEST) $${SKIP:+-skip "$$SKIP"} $$(go list ./... | grep -vE '/(internal/gateway|platform)$$' ) ./transport/platform
	$(TEST) -skip '$(SOAK)'"$(NOT)" ./platform
	$(TEST) -run '$(SOAK)' -skip '$(ORDERS)|$(ISOLATIONS)|$(SEEDS_WITHOUT_STORE)'"$(NOT)" ./platform
	$(TEST) -run '$(SEEDS_WITHOUT_STORE)' $${SKIP:+-skip "$$SKIP"} ./platform
	$(TEST) -skip '$(RETURNS)|$(ORDERS)|$(ISOLATIONS)'"$(NOT)" ./internal/gateway
	$(TEST) -run '$(RETURNS)' -skip '$(ORDERS)|$(ISOLATIONS)'"$(NOT)" ./internal/gateway
	$(TEST) -run '$(ORDERS)' -skip '$(ISOLATIONS)'"$(NOT)" ./internal/gateway ./platform
	$(TEST) -run '$(ISOLATIONS)' $${SKIP:+-skip "$$SKIP"} ./internal/gateway ./platform

format: $(LINT)
	$(LINT) fmt ./...

generate:
	cd tools && go build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=$(BIN)/protoc-gen-go --go_out=. --go_opt=paths=source_relative protocol/peerpb/peer.proto

bench:
	go test -run '^$$' -bench . -benchmem ./state/... ./coordination/...

fuzz:
	go test -run '^$$' -fuzz FuzzDecodeObject -fuzztime 20s ./state/spec
	go test -run '^$$' -fuzz FuzzRead -fuzztime 20s ./protocol/wire
	go test -run '^$$' -fuzz '^FuzzWorker$$' -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzWorkerWords -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzBalanceFromPeers -fuzztime 20s ./internal/gateway
	go test -run '^$$' -fuzz FuzzServe -fuzztime 20s -fuzzminimizetime 5x ./transport/pipeline

# A soak of the real daemons with faults from outside them; see docs/SOAK.md.
SEED ?= 1
SEEDS ?= 1
DURATION ?= 25s
VMS ?= 5

soak:
	go test -count=1 -v -timeout 0 -run '^TestSoak$$' ./platform -soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.duration $(DURATION) -soak.vms $(VMS)
