# The chores of papayacourse; `make help` lists them.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
export PYTHONPATH := $(CURDIR)

.PHONY: help demo test lint format bench soak dist clean

help:  ## List the chores.
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | awk -F ':.*## ' '{printf "%-8s %s\n", $$1, $$2}'

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)  ## Stream a plan and a refund through two daemons and stop gracefully.
	$(BIN)/python -m examples.demo

lint: $(READY)  ## Check the formatting and the lint rules.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)  ## Rewrite the source in the project's format.
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint  ## Check format and lint, then run every scenario.
	$(BIN)/python -m tests.run

bench: $(READY)  ## Compare the policies under load on real daemons and stand-in engines.
	$(BIN)/python -m bench.load

soak: $(READY)  ## Run callers, faults and operators at random; SEED=1 SECONDS=120.
	$(BIN)/python -m tests.soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),120)
	$(BIN)/python -m tests.routedsoak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),120)

dist: $(READY)  ## Build the one-file program dist/papayacourse.
	mkdir -p dist
	$(BIN)/shiv -q -c papayacourse -o dist/papayacourse --compressed . -r requirements.txt

clean:  ## Remove what the chores built.
	rm -rf $(VENV) dist build out *.egg-info
