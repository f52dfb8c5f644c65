# Creates its virtual environment in .venv; needs Python 3.11 and make.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core router operator testing
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src)):$(CURDIR)/platform
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: install run test lint format unit fuzz fuzz-check bench experiment profile

$(VENV)/.installed: constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r constraints.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

install: $(VENV)/.installed

run: install
	$(BIN)/python -m fireflystand_testing.demo $(if $(ONCE),--once)

lint: install
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform

format: install
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

unit: install
	$(BIN)/python -m fireflystand_testing.runner $(ONLY)

test: lint unit

fuzz: install
	$(BIN)/python -m fireflystand_testing.fuzz --seed=$(or $(SEED),0) --steps=$(or $(STEPS),200)

fuzz-check: install
	$(BIN)/python -m fireflystand_testing.fuzz_check

experiment: install
	$(BIN)/python -m fireflystand_testing.experiment --load=$(LOAD) --policy=$(POLICY)

bench: install
	$(BIN)/python -m fireflystand_testing.bench

profile: install
	$(BIN)/python -m fireflystand_testing.node_profile
