VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
PACKAGES = core admission wire daemon gateway client standins bench soak
SOURCES = $(foreach package,$(PACKAGES),packages/skylarkferry-$(package)/src) platform
KNOWN_RED = $(shell sed -n 's/^\(tests[^ |]*\).*/\1/p' KNOWN-RED.txt)
GENERATED = $(shell grep -l '@given' -r tests --include='test_*.py')
export PYTHONPATH := $(shell echo $(addprefix $(CURDIR)/,$(SOURCES)) | tr ' ' ':')
export PYTHONHASHSEED := 0

.PHONY: demo test check bench slopes soak soak-processes lock format

WORKERS ?= 3
SEEDS ?= 50
FIRST ?= 0

demo: $(VENV)/installed
	PYTHON=$(BIN)/python scripts/demo.sh

test: $(VENV)/installed
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal $(KNOWN_RED:%=--deselect %)

check: $(VENV)/installed
	$(BIN)/black --check --quiet packages platform tests
	$(BIN)/ruff check --quiet packages platform tests
	$(BIN)/mypy --no-error-summary $(SOURCES)

format: $(VENV)/installed
	$(BIN)/ruff check --quiet --fix packages platform tests
	$(BIN)/black --quiet packages platform tests

bench: $(VENV)/installed
	$(BIN)/python -m skylarkferry_bench run
	$(BIN)/python -m skylarkferry_bench overhead

slopes: $(VENV)/installed
	$(BIN)/python -m skylarkferry_bench slopes

soak: $(VENV)/installed
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest $(GENERATED)

soak-processes: $(VENV)/installed
	$(BIN)/python -m skylarkferry_soak --first=$(FIRST) --seeds=$(SEEDS)

$(VENV)/installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --no-deps --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),--editable packages/skylarkferry-$(package))
	touch $@
