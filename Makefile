# Builds the virtual environment once and runs the checks and the demo in it.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format check-histories soak

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	@bash examples/demo.sh $(BIN)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

# Tests that start processes run one at a time, so that the processes get enough
# processor time.
WORKERS ?= 4
test: lint
	$(BIN)/python -m pytest -n $(WORKERS) -m "not processes"
	$(BIN)/python -m pytest -m processes

SECONDS ?= 60
SEED ?= 1
check-histories: $(STAMP)
	@$(BIN)/python -m tests.check_histories --seconds $(SECONDS) --seed $(SEED)

# VM processes under faults and planned work: RUNS seeds from SEED on.
RUNS ?= 1
VMS ?= 4
soak: $(STAMP)
	@$(BIN)/python -m tests.soak --seed $(SEED) --runs $(RUNS) --seconds $(SECONDS) --vms $(VMS)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
