# The front door of the project: `make run`, `make test`, `make bench`.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0

.PHONY: setup compile run up test check format unit features bench capacity replay seeds

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

# Many processes start from this tree.
compile: setup
	@$(PYTHON) -m compileall -q src

run: compile
	@$(PYTHON) -m tools.demo run

up: compile
	@$(PYTHON) -m tools.demo up

test: check
	@$(PYTHON) -m tools.test_all

check: compile
	@$(VENV)/bin/ruff format --check --quiet src tests features tools
	@$(VENV)/bin/ruff check --quiet src tests features tools
	@$(PYTHON) -m tools.check_imports src tests features tools

format: setup
	$(VENV)/bin/ruff format --quiet src tests features tools
	$(VENV)/bin/ruff check --fix --quiet src tests features tools
	$(VENV)/bin/ruff format --quiet src tests features tools

unit: compile
	$(PYTHON) -m pytest

features: compile
	$(PYTHON) -m behave --format progress features

bench: compile
	$(PYTHON) -m tools.bench

capacity: setup
	$(PYTHON) -m cowsliprill.capacity

replay: setup
	$(PYTHON) -m cowsliprill.replay --all

# Plays the days that once showed a fault: make seeds SITES=FOLDER
seeds:
	@sed -n 's/ *#.*//; /./p' deploy/seeds.txt | while read site day; do \
		fleetbench run $(SITES)/$$site.toml $$day --why "a day that showed a fault" \
			| grep -E "^[a-z]+-[0-9]" ; done
