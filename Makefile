# Targets for users and developers. Each works in a fresh clone with Go and apt.
GO ?= go
ARGS ?=

.PHONY: all build demo test format lint generate unit race

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo:
	$(GO) run ./cmd/balsamdemo $(ARGS)

# Everything that must hold before a change lands.
test: format lint generate unit race

format:
	@out=$$($(GO) tool gofumpt -l .); if [ -n "$$out" ]; then echo "not formatted by gofumpt:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

# Generated files must be current.
generate:
	$(GO) run ./cmd/balsamdocs --check

unit:
	$(GO) test ./...

race:
	$(GO) test -race ./...
