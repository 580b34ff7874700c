# make demo, make test: the two commands of the README.
PYTHON ?= python3
DEPLOYMENT ?= halvorsen
BIN := .venv/bin
# Virtual runs iterate over sets of names: in the same order every time.
export PYTHONHASHSEED := 0

.PHONY: demo test setup lint format generate pages check-pages bench clean

setup: .venv/installed

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e . || $(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch .venv/installed

demo: setup
	tools/demo.sh $(BIN)/python $(DEPLOYMENT)
	tools/demo_vms.sh $(BIN)/python

test: setup
	$(BIN)/python -m pytest -n 6

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m tools.generate --check

format: setup
	$(BIN)/ruff check --fix --select I .
	$(BIN)/ruff format .

generate: setup
	$(BIN)/python -m tools.generate

pages: setup
	$(BIN)/python -m tools.pages

check-pages: setup
	$(BIN)/python -m tools.pages --check

bench: setup
	$(BIN)/python -m benchmarks all --quick

clean:
	rm -rf .venv
