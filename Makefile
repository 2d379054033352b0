PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/node packages/cli packages/standins
SOURCES := packages platform tests
SEEDS ?= 5
SOAK_OPTIONS ?=
FIRST ?= 1

.PHONY: demo test lint measure measure-full soak slopes format clean

$(VENV)/.ready: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m kumquathold_standins.demo

test: $(VENV)/.ready
	$(BIN)/python -m tests.run

lint: $(VENV)/.ready
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy

format: $(VENV)/.ready
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

measure: $(VENV)/.ready
	$(BIN)/python -m kumquathold_standins.measure

soak: $(VENV)/.ready
	$(BIN)/python -m kumquathold_standins.soak --seeds $(SEEDS) --first $(FIRST) $(SOAK_OPTIONS)

slopes: $(VENV)/.ready
	$(BIN)/python -m kumquathold_standins.slopes
	$(BIN)/python -m kumquathold_standins.fleet_slopes

measure-full: $(VENV)/.ready
	$(BIN)/python -m kumquathold_standins.measure --full

clean:
	rm -rf $(VENV) out
