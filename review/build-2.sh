#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the router: stand-ins in Python, of the standard
# library alone. The router itself is built by the command of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for folder in standins2 6 7 8 9 10; do
    [ ! -d "review/$folder" ] || .venv/bin/python -m compileall -q "review/$folder" || exit 2
done
