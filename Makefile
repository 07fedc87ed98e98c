# gaplink: the two commands are `make run` and `make test`.
GO ?= go

.PHONY: build run test lint demo bench model ci

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	./bin/gaplink-lab solo

test: build
	./.ci/tests

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Faults: make demo FAULTS=kill,freeze,outage,cut,race,drain
FAULTS ?=
demo: build
	./bin/gaplink-lab demo --faults "$(FAULTS)"

# Exhaustive checks of the protocol models; each removed rule must be caught.
model:
	./spec/check.sh

# Bounded, seeded measurements of the decisions.
bench: build
	./bin/gaplink-lab policy --check
	./bin/gaplink-lab latency

ci:
	./.ci/run

.PHONY: slopes latency
slopes: build
	./bin/gaplink-lab slopes

latency: build
	./bin/gaplink-lab latency

.PHONY: moves
moves: build
	./bin/gaplink-lab moves

# A random run of real routers under faults, checked while it runs: make soak SEED=7
# SOAK_ROUTERS=18 makes a fleet in which few routers watch the store for the others.
SEED ?= 1
SOAK_SECONDS ?= 20
# SOAK_FLAGS=--brittle makes servers with little room that are brittle at times; --batches adds requests that use up
# a large budget, and a kill of the router that holds most of it; --refusals adds servers that refuse most requests
# while all routers are killed in series; --parts sends requests with a part in their prompts that crashes servers, while all
# routers are killed in series and nothing else happens; --freezes sends requests at a fixed rate while servers fail most of them and some freeze or their links hold bytes;
# --releases has servers replaced by ones of other software versions while all routers are killed in series or restarted in turn,
# some stand still and the store fails, and nothing else happens.
SOAK_ROUTERS ?= 3
SOAK_FLAGS ?=
SOAK_SERVERS ?= 4
.PHONY: soak
soak: build
	./bin/gaplink-lab soak --seed $(SEED) --seconds $(SOAK_SECONDS) --routers $(SOAK_ROUTERS) --servers $(SOAK_SERVERS) $(SOAK_FLAGS)
