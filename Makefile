# Set-up, checks, tests, the demo and the measurements.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: setup format lint types test demo measure regressions

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

test: setup
	$(BIN)/python -m tools.fault_matrix
	$(BIN)/python -m tools.run_tests

demo: setup
	$(BIN)/python -m bench.demo

measure: setup
	$(BIN)/python -m bench.measure

# PROGRAM plays a deployment, FOLDER holds the deployments' folders
regressions: setup
	$(BIN)/python -m tools.regressions $(PROGRAM) $(FOLDER)
