# Front door of the project. Each target creates what it needs.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := yuccarelay tests tools
# Python that runs the built file; the libraries are built for its version.
SYSTEM_PYTHON ?= /usr/bin/python3

all: help  ## Same as help

help:  ## List the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | sort

install: $(STAMP)  ## Create the virtual environment with the pinned dependencies

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: install  ## Run all tests
	$(BIN)/python -m tests

lint: install  ## Check format and lint
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

format: install  ## Rewrite the sources in the project's format
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

# Examples and seed of the long random search; the seed is printed.
EXAMPLES ?= 1000
SEED ?= $(shell date +%s)

fuzz: install  ## Search at random for a broken invariant: EXAMPLES=n SEED=n
	@echo "fuzz: seed $(SEED), $(EXAMPLES) examples"
	FUZZ_SEED=$(SEED) FUZZ_EXAMPLES=$(EXAMPLES) $(BIN)/python -m tests test_stateful

# Seeds of the fault soak, and how many are played at a time.
SEEDS ?= 1-50
SOAK_JOBS ?= 2

soak: install  ## Play seeds of the fault soak: SEEDS=1-50 SOAK_JOBS=2
	$(BIN)/python -m tests.soak --seeds $(SEEDS) --jobs $(SOAK_JOBS)

mutations: install  ## Show that each mechanism has a test that fails without it
	$(BIN)/python -m tests.mutations

golden: install  ## Rewrite the golden files of whole sessions; review the change
	$(BIN)/python -m tests.test_golden

demo: install  ## Run the whole path in one process on embedded stand-ins
	$(BIN)/yuccarelay local --demo

measure: install  ## Measure the decision code in virtual time
	$(BIN)/python -m tools.measure

dist: install  ## Build dist/yuccarelay, one file with all libraries
	mkdir -p dist
	$(BIN)/python tools/stage.py build/site
	$(BIN)/shiv --site-packages build/site --entry-point yuccarelay.main:run \
		--reproducible --output-file dist/yuccarelay

check-dist: dist  ## Run the built file with no process and no writable disk
	$(BIN)/python tests/check_dist.py dist/yuccarelay $(SYSTEM_PYTHON)

clean:  ## Remove what the other targets create
	rm -rf $(VENV) build dist *.egg-info .ruff_cache .hypothesis

.PHONY: all help install test lint format fuzz soak mutations golden demo measure dist check-dist clean
