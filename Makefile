# build, test, lint, run: the same commands as in the README.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: build test lint run toy

build: $(BIN)/ruff

$(BIN)/ruff: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(BIN)/python -m pytest

lint: build
	$(BIN)/ruff check .

run: build
	LB_CONFIG=example/config.json $(BIN)/python -m gaugehinge

toy: build
	PYTHONPATH=. $(BIN)/python example/toy.py serve
