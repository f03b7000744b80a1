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
# The tests of a package that take long run in parts, so that each run stays within the
# time limit. A part is what the pattern of its name selects, less what other parts select.
# "make -j4 test" runs four parts beside each other.
# The environment's SKIP is a pattern of tests and cases that are left out; CI sets it from
# KNOWN-RED.txt. It is left to the shell, since make would expand its dollar signs.
TEST := go test -race -p 1 -parallel 4 -timeout 8m
SEEDS_WITHOUT_STORE := ^TestSoakWorkersReturnWithoutStore
RETURNS := FromCop|NewEra|GoesBack|WrittenAgain
SOAK := ^TestSoak
ORDERS := ^TestSoak.*Order|^TestOrders|VersionIs|TurnsSomeVMsAway
ISOLATIONS := Isolat|Forwarded|NoVMReachesWorkers
FIRST_HALF := ^Test[A-L]
NOT := $${SKIP:+|$$SKIP}
SKIP_KNOWN := $${SKIP:+-skip "$$SKIP"}
TEST_PARTS := test-packages test-platform test-soak test-seeds-without-store test-gateway \
	test-gateway-rest test-returns test-orders test-isolations

.PHONY: $(TEST_PARTS)

test: $(TEST_PARTS)

test-packages:
	$(TEST) $(SKIP_KNOWN) $$(go list ./... | grep -vE '/(internal/gateway|platform)$$' ) ./transport/platform

test-platform:
	$(TEST) -skip '$(SOAK)'"$(NOT)" ./platform

test-soak:
	$(TEST) -run '$(SOAK)' -skip '$(ORDERS)|$(ISOLATIONS)|$(SEEDS_WITHOUT_STORE)'"$(NOT)" ./platform

test-seeds-without-store:
	$(TEST) -run '$(SEEDS_WITHOUT_STORE)' $(SKIP_KNOWN) ./platform

test-gateway:
	$(TEST) -run '$(FIRST_HALF)' -skip '$(RETURNS)|$(ORDERS)|$(ISOLATIONS)'"$(NOT)" ./internal/gateway

test-gateway-rest:
	$(TEST) -skip '$(FIRST_HALF)|$(RETURNS)|$(ORDERS)|$(ISOLATIONS)'"$(NOT)" ./internal/gateway

test-returns:
	$(TEST) -run '$(RETURNS)' -skip '$(ORDERS)|$(ISOLATIONS)'"$(NOT)" ./internal/gateway

test-orders:
	$(TEST) -run '$(ORDERS)' -skip '$(ISOLATIONS)'"$(NOT)" ./internal/gateway ./platform

test-isolations:
	$(TEST) -run '$(ISOLATIONS)' $(SKIP_KNOWN) ./internal/gateway ./platform

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
