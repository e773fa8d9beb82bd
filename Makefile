# Targets for developers. CI (.ci/run) uses the same ones.
GO   ?= go
TOOL := $(GO) tool -modfile=tools/go.mod
BIN  := bin
VERSION := $(shell git describe --always --dirty 2>/dev/null)

.PHONY: all build setup generate format check test race model scenarios fuzz-seeds bench demo run clean

all: build

# Builds every program into bin/.
build:
	$(GO) build -ldflags "-X quetzalbend/internal/program.version=$(VERSION)" -o $(BIN)/ ./cmd/...

# Installs the tools that the checks need in addition to Go (see .ci/setup).
setup:
	.ci/setup

# Regenerates the protobuf code with the pinned plugin.
generate:
	$(GO) build -modfile=tools/go.mod -o $(BIN)/tools/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=$(BIN)/tools/protoc-gen-go --go_out=. --go_opt=paths=source_relative internal/wire/quetzalbend.proto

format:
	$(TOOL) gofumpt -w $$(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

# Checks the format, runs the linter and checks that generated code is up to date.
check:
	.ci/check

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

# Checks every model under model/, and that spin rejects every twin of it.
model:
	model/check

# Runs the scenarios, and the soak test, against the built programs.
scenarios: build
	$(GO) test -count=1 -tags=scenarios -parallel=4 -timeout=20m ./scenarios/...

bench:
	$(GO) test -run='^$$' -bench=. -benchtime=200ms ./internal/...

demo: build
	demo/run

run: build
	demo/run --stay

clean:
	rm -rf $(BIN)
