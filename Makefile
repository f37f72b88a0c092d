# Every target sets up what it needs in .venv from pinned packages.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core daemon cli standin bench model scheduler service platform
PACKAGE_FLAGS := $(foreach p,$(PACKAGES),-e packages/$(p))
SEED ?= 1
STEPS ?= 20000
SECONDS ?= 20
ENTRIES ?= 4
WORKERS ?= 6
FAULTS ?=
LONG_SHARE ?= 0

.PHONY: test lint format demo model soak soak-processes faults bench slopes

$(STAMP): requirements.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGE_FLAGS)
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/black --check -q packages
	$(BIN)/ruff check -q packages

format: $(STAMP)
	$(BIN)/black -q packages
	$(BIN)/ruff check -q --fix packages

demo: $(STAMP)
	$(BIN)/python -m fescuecrank_standin.demo

model: $(STAMP)
	$(BIN)/python -m fescuecrank_model

soak: $(STAMP)
	PYTHONPATH=packages/core/src:packages/core/tests $(BIN)/python packages/core/tests/soak.py --seed $(SEED) --steps $(STEPS)

# Real processes on loopback; SECONDS of faults, then everything is repaired. FAULTS names kinds of
# faults of packages/daemon/tests/soak_plan.py, separated by commas; all by default. LONG_SHARE of the
# jobs have tasks of 5 to 25 s.
soak-processes: $(STAMP)
	PYTHONPATH=$(subst $(eval) ,:,$(foreach p,scheduler service platform daemon,packages/$(p)/tests)) \
		$(BIN)/python packages/daemon/tests/process_soak.py --seed $(SEED) --seconds $(SECONDS) --entries $(ENTRIES) \
		--workers $(WORKERS) --faults "$(FAULTS)" --long-share $(LONG_SHARE)

bench: $(STAMP)
	$(BIN)/python -m fescuecrank_bench

slopes: $(STAMP)
	$(BIN)/python -m fescuecrank_bench.slopes

faults: $(STAMP)
	PYTHONPATH=packages/core/src:packages/core/tests $(BIN)/python packages/core/tests/fault_figures.py
