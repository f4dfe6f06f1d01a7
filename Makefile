# Every target works on a fresh machine with Python 3.11 and pip.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/mimosamux-wire packages/mimosamux-daemon packages/mimosamux-cli packages/mimosamux-standins platform

.PHONY: venv serve local platform test bench format clean

venv: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:=/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $(STAMP)

serve: venv
	$(BIN)/mimosamuxd serve --settings examples/embedded.yaml

local: venv
	$(BIN)/python -m mimosamux_standins local

platform: venv
	$(BIN)/python -m mimosamux_standins site-local

test: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m nose2
	$(BIN)/python -m nose2 -N 1 tests.crowd_gateway tests.crowd_model_daemon tests.crowd_endpoints

bench: venv
	$(BIN)/python -m benchmarks

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf .mypy_cache .ruff_cache .hypothesis
