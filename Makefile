PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# The order of sets of strings is the same on each run.
export PYTHONHASHSEED := 1

.PHONY: demo test lint unit faults bench capacity events format clean

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/wisteriawood demo

test: $(VENV)/installed
	$(BIN)/python -m wisteriawood.tests

lint: $(VENV)/installed
	$(BIN)/black --check -q wisteriawood
	$(BIN)/flake8 wisteriawood

unit: $(VENV)/installed
	$(BIN)/python -m unittest discover -s wisteriawood/tests \
	    -t . -p '*_tests.py'

faults: $(VENV)/installed
	$(BIN)/python -m wisteriawood.tests.faults

bench: $(VENV)/installed
	$(BIN)/python -m wisteriawood.bench

capacity: $(VENV)/installed
	$(BIN)/python -m wisteriawood.bench.capacity > docs/CAPACITY.new
	mv docs/CAPACITY.new docs/CAPACITY.md

events: $(VENV)/installed
	$(BIN)/python -m wisteriawood.telemetry.catalogue > docs/events.md

format: $(VENV)/installed
	$(BIN)/black -q wisteriawood

clean:
	rm -rf $(VENV) build run *.egg-info
