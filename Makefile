# Targets a developer calls. CI calls the same ones (.ci/run).
GO   ?= go
TOOL := $(GO) tool -modfile=tools/go.mod
BIN  := bin
VERSION := $(shell git describe --always --dirty 2>/dev/null)

.PHONY: all build setup generate format check test race model scenarios fuzz-seeds bench demo run clean

all: build

# Builds every program into bin/.
build:
	$(GO) build -ldflags "-X quetzalbend/internal/program.version=$(VERSION)" -o $(BIN)/ ./cmd/...

# Installs what the checks need beyond Go: protoc and spin.
setup:
	.ci/setup

# Regenerates the protobuf code with the pinned plugin.
generate:
	$(GO) build -modfile=tools/go.mod -o $(BIN)/tools/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=$(BIN)/tools/protoc-gen-go --go_out=. --go_opt=paths=source_relative internal/wire/quetzalbend.proto

format:
	$(TOOL) gofumpt -w $$(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

# Formatter, linter and freshness of the generated code.
check:
	.ci/check

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

# Checks every model under model/ and that every mutated twin fails.
model:
	model/check

# Runs the scripted scenarios on the real programs.
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
