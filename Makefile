# PYTHON is the interpreter that has requirements-dev.txt installed.
PYTHON ?= python3

.PHONY: check
check:
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest

# The regression check on the users' bench, which CI has not: each panel in turn, by name. A panel fails
# under its floor, set below the lowest play seen (README) by the spread from play to play.
LBREAL ?= lbreal
SITE ?= site.toml
WHY ?= Regression check
PANEL_later := --panel later
LEAST_vast := 0.65
LEAST_later := 0.62

.PHONY: regression regression-vast regression-later
.NOTPARALLEL: regression
regression: regression-vast regression-later

regression-vast regression-later: regression-%:
	$(LBREAL) score $(SITE) $(PANEL_$*) --quick --why "$(WHY), panel $*" | tee /dev/stderr | \
	awk -v least=$(LEAST_$*) '/^score of the real nodes/ { score = $$6 } END { exit !(score >= least) }'
