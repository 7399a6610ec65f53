#!/bin/sh
# Builds the stand-ins of review/6 and later. They are Python of the standard library alone, run by the
# interpreter of the project's own virtualenv: what there is to do is to check that they compile.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins
