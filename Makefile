GO ?= go

.PHONY: check fmt fmt-check lint test race build demo

# check runs all checks: formatter, vet, linter, tests with the race detector.
check: fmt-check lint race

build:
	$(GO) build ./...

fmt:
	$(GO) tool gofumpt -w .

fmt-check:
	@files=$$($(GO) tool gofumpt -l .); if [ -n "$$files" ]; then echo "not formatted:"; echo "$$files"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...
	$(GO) test ./admission/simload
	bash scripts/crowds.sh

demo:
	$(GO) run ./cmd/geraniumnotch dev --demo

.PHONY: model model-mutations

# model checks the models of the core protocol. model-mutations checks that the
# models are violated when one of their guards is removed.
model:
	bash spec/check.sh model

model-mutations:
	bash spec/check.sh mutations

.PHONY: processes

# processes runs the end-to-end test with separate processes.
processes:
	bash scripts/processes.sh

.PHONY: soak

# soak runs the soak test under faults with the seeds FIRST to FIRST+SEEDS-1, about
# 30 s each, on HOSTS hosts.
FIRST ?= 1
SEEDS ?= 50
HOSTS ?= 4
soak:
	$(GO) test ./soak -count=1 -v -timeout 3h -soak.first=$(FIRST) -soak.seeds=$(SEEDS) -soak.hosts=$(HOSTS)

.PHONY: docs

# docs generates the pages that are derived from the code.
docs:
	$(GO) run ./internal/docgen
