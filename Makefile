# Each target that runs Python first creates the virtual environment from the pinned versions.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: test demo bench model generate long soak clean

.venv/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch .venv/ready

test: .venv/ready
	$(BIN)/python -m tools.verdict

demo: .venv/ready
	$(BIN)/python -m tools.demo

bench: .venv/ready
	$(BIN)/python -m bench $(if $(NAME),--name $(NAME)) $(if $(SEED),--seed $(SEED))

model: .venv/ready
	$(BIN)/python -m tools.model
	$(BIN)/python -m tools.orders

long: .venv/ready
	$(BIN)/python -m tools.long_runs $(if $(SEED),--seed $(SEED))

soak: .venv/ready
	$(BIN)/python -m soak.run $(if $(SEED),--seed $(SEED)) $(if $(SEEDS),--seeds $(SEEDS))

generate: .venv/ready
	$(BIN)/python -m tools.generate

clean:
	rm -rf .venv build *.egg-info
