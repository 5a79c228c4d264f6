# Developer tasks. `make check test` is what CI runs.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
SOURCE_PATHS = $(wildcard libs/*) programs/oleanderdeal platform standins
PRODUCT_FILES = $(shell find libs programs -name '*.py')
space := $(subst ,, )
export PYTHONPATH = $(subst $(space),:,$(abspath $(SOURCE_PATHS)))
export PYTHONDONTWRITEBYTECODE = 1

.PHONY: install format check pages test demo site bench costs soak front-soak binary

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements-dev.txt
	touch $@

format: install
	$(VENV)/bin/ruff check --select I --fix --quiet .
	$(VENV)/bin/ruff format --quiet .
	$(VENV)/bin/ruff check --fix .

check: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy $(SOURCE_PATHS)
	$(VENV)/bin/lint-imports --no-cache
	$(PYTHON) programs/generate_pages.py --check

pages: install
	$(PYTHON) programs/generate_pages.py

test: install binary
	$(PYTHON) features/run.py $(FEATURES)

demo: install
	$(PYTHON) -m oleander_standins.demo

site: install binary
	$(PYTHON) -m oleander_standins.site

bench: install
	$(PYTHON) bench/run.py --seed $(or $(SEED),1) --scale $(or $(SCALE),1) --only '$(ONLY)' --json '$(JSON)'

costs: install
	$(PYTHON) bench/costs.py --only '$(ONLY)' --json '$(JSON)'

soak: install
	$(PYTHON) features/soak.py --seed $(or $(SEED),1) --minutes $(or $(MINUTES),1)

front-soak: install
	$(PYTHON) features/front_soak.py --seed $(or $(SEED),1) --count $(or $(COUNT),1) --seconds $(or $(SECONDS),12) --fronts $(or $(FRONTS),3)

binary: dist/oleanderdeal

dist/oleanderdeal: requirements.txt $(PRODUCT_FILES) | install
	$(PYTHON) programs/build_binary.py
