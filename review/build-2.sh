#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the router: stand-ins in Python, of the standard
# library alone, and the project's own control plane with a router that follows it (review/8). The router itself is
# built by the command of deploy/balancer.toml. The packages of the control plane are the project's own: those of
# requirements-dev.txt; nothing is installed where they are there already.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -c 'import argon2, click, httpx, hypercorn, msgspec, rich, starlette, tomli_w' 2>/dev/null ||
    .venv/bin/pip -q install -r requirements-dev.txt || echo "review/8 cannot run: it exits with 2" >&2
for folder in standins2 6 7 8 9 10; do
    [ ! -d "review/$folder" ] || .venv/bin/python -m compileall -q "review/$folder" || exit 2
done
