#!/usr/bin/env bash
# Builds what the scripts of the review start: stand-ins in Python, of the standard library alone, which are compiled here.
# The dispatcher itself is built by the line `build` of deploy/balancer.toml. Downloads nothing.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
