# `make demo` shows the whole path; `make test` checks all of it.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)

.PHONY: demo up test bench soak faultsoak experiment capacity format generate

$(VENV)/.installed: pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m standins.demo $(ARGS)

up: $(VENV)/.installed
	$(PYTHON) -m standins.demo --keep $(ARGS)

test: $(VENV)/.installed
	$(PYTHON) tools/check.py

bench: $(VENV)/.installed
	$(PYTHON) tools/bench.py

soak: $(VENV)/.installed
	$(PYTHON) tools/soak.py --seed $(or $(SEED),1) --minutes $(or $(MINUTES),10)

experiment: $(VENV)/.installed
	$(PYTHON) tools/experiment.py $(ARGS)

capacity: $(VENV)/.installed
	$(PYTHON) tools/capacity.py $(ARGS)

format: $(VENV)/.installed
	$(PYTHON) -m black --quiet .
	$(PYTHON) -m ruff check --quiet --fix .

generate:
	$(PYTHON) -m pip install --quiet -e '.[generate]'
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --plugin=protoc-gen-grpclib_python=$(VENV)/bin/protoc-gen-grpclib_python --grpclib_python_out=. briarspur/peer.proto briarspur/gateway/gateway.proto

faultsoak: $(VENV)/.installed
	$(PYTHON) tools/faultsoak.py --seed $(or $(SEED),1) --runs $(or $(RUNS),50)
