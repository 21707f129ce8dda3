# Every target sets up what it needs: the virtual environment is made from the
# hashed lock file and is rebuilt only when that file or pyproject.toml changes.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp
PACKAGE_FILES := $(shell find chervilrock -type f -not -name '*.py[co]')
# Where the binary unpacks itself unless SHIV_ROOT is set.
BINARY_ROOT := /tmp/chervilrock
# Processes that run tests, each with up to one busy processor.
WORKERS ?= 4
SOURCES := chervilrock bench tools
CODE := $(wildcard $(SOURCES) test)
COMPILE := $(BIN)/uv pip compile --quiet --no-config --universal \
	--python-version 3.11 --generate-hashes --no-emit-index-url \
	--no-emit-find-links --no-header

export PIP_DISABLE_PIP_VERSION_CHECK = 1

.DEFAULT_GOAL := help
.PHONY: help venv demo demo-platform test bench format format-check lint imports types \
	unit generate lock binary binary-check clean

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/:/'

$(STAMP): requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes \
		-r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		--editable .
	touch $@

venv: $(STAMP)  ## Make the virtual environment.

demo: $(STAMP)  ## Run the demonstration on this machine.
	$(BIN)/chervilrock demo

demo-platform: $(STAMP)  ## Run nodes before a stand-in of the platform.
	$(BIN)/python -m bench.soak --seeds 1 --seconds 10

test: format-check lint imports types unit  ## Run every check and test.

bench: $(STAMP)  ## Run the benches: JSON lines on stdout.
	@$(BIN)/python -m bench $(if $(QUICK),--quick) $(NAMES)

format: $(STAMP)  ## Format the code and sort its imports.
	$(BIN)/ruff check --quiet --select I --fix $(CODE)
	$(BIN)/ruff format $(CODE)

format-check: $(STAMP)
	$(BIN)/ruff format --check $(CODE)

lint: $(STAMP)  ## Run the linter.
	$(BIN)/ruff check $(CODE)

imports: $(STAMP)  ## Check the layers of the package.
	$(BIN)/lint-imports --no-cache .importlinter
	$(BIN)/lint-imports --no-cache .importlinter-decisions

types: $(STAMP)  ## Run the type checker.
	$(BIN)/mypy $(CODE)

unit: $(STAMP)  ## Run the tests alone.
	$(BIN)/python -m pytest -q -n $(WORKERS) --dist loadfile

generate: $(STAMP)  ## Write chervilrock/generated from the schema.
	$(BIN)/python tools/generate.py

lock: $(STAMP)  ## Lock the newest dependencies with their hashes.
	$(COMPILE) --upgrade --output-file requirements.txt pyproject.toml
	$(COMPILE) --upgrade --extra dev --constraint requirements.txt \
		--output-file requirements-dev.txt pyproject.toml

binary: dist/chervilrock  ## Build dist/chervilrock, the one-file program.

# The packages are installed by the lock file. RECORD and direct_url.json depend
# on the folder of the build and are not needed at run time.
dist/chervilrock: $(STAMP) requirements.txt $(PACKAGE_FILES)
	rm -rf build && mkdir -p build dist
	$(BIN)/python -m pip install --quiet --require-hashes --no-compile \
		--target build/site -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		--no-compile --target build/site .
	rm -rf build/site/bin
	rm -f $(addprefix build/site/*.dist-info/,RECORD direct_url.json)
	$(BIN)/shiv --reproducible --compressed --site-packages build/site \
		--python "/usr/bin/env python3.11" --root $(BINARY_ROOT) \
		--entry-point chervilrock.ui:main --output-file $@

binary-check: binary  ## Prove how dist/chervilrock behaves as a process.
	$(BIN)/python tools/check_binary.py dist/chervilrock

clean:  ## Remove what was built, but not the virtual environment.
	rm -rf build dist *.egg-info
