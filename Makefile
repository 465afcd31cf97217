GO ?= go

.PHONY: check fmt fmt-check lint test race build demo

# check is the one test command: formatter, vet, linter, tests with the race detector.
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

demo:
	$(GO) run ./cmd/geraniumnotch dev --demo

.PHONY: model model-mutations

# model checks the models of the core protocol; model-mutations checks that each
# guard of the models is needed.
model:
	bash spec/check.sh model

model-mutations:
	bash spec/check.sh mutations

.PHONY: processes

# processes runs the whole path as separate processes.
processes:
	bash scripts/processes.sh

.PHONY: soak

# soak runs the fault soak with the seeds FIRST to FIRST+SEEDS-1, 20 s each.
FIRST ?= 1
SEEDS ?= 50
soak:
	$(GO) test ./soak -count=1 -v -timeout 3h -soak.first=$(FIRST) -soak.seeds=$(SEEDS)

.PHONY: docs

# docs writes the pages that are made from the code.
docs:
	$(GO) run ./internal/docgen
