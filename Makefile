# build, test, lint, demo: the same commands as in the README.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: build test lint demo

build: $(BIN)/ruff

$(BIN)/ruff: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(BIN)/python -m pytest

lint: build
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

demo: build
	$(BIN)/gaugehinge demo
