#!/bin/sh
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || exit 2
exec ../../.venv/bin/python -B case.py
