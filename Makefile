PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test check format manual

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	$(BIN)/pip uninstall --quiet --yes setuptools
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m magnoliarouter.standins.demo

test: $(STAMP)
	$(BIN)/python -m magnoliarouter.tests

check: $(STAMP)
	$(BIN)/black --quiet --check magnoliarouter
	$(BIN)/ruff check --quiet magnoliarouter

format: $(STAMP)
	$(BIN)/black --quiet magnoliarouter
	$(BIN)/ruff check --quiet --fix magnoliarouter

manual: $(STAMP)
	$(BIN)/python -m magnoliarouter.manual > docs/CONFIGURATION.md
