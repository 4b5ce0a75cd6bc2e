PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONHASHSEED := 0

# Options that exclude the tests listed in KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^\([^\# |]*::[^ |]*\) |.*/--deselect "\1"/p' KNOWN-RED.txt)

.PHONY: run test check format bench matrix slopes binary clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

run: $(VENV)/.installed
	$(BIN)/python -m examples.demo

test: $(VENV)/.installed
	@echo "known red, passed over:"; grep -v '^#' KNOWN-RED.txt || true
	$(BIN)/python -m pytest $(KNOWN_RED)

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks

slopes: $(VENV)/.installed
	$(BIN)/python -m benchmarks.slopes

binary: $(VENV)/.installed
	$(BIN)/pip install --quiet pex
	$(BIN)/pex . --output-file dist/galenarill --console-script galenarill \
		--sh-boot --no-compress --venv prepend
	$(BIN)/python -m benchmarks.single_process dist/galenarill

clean:
	rm -rf $(VENV) build dist
