#!/bin/sh
# The stand-ins are Python of the standard library alone: building them is compiling them.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
