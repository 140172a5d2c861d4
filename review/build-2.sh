#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files without dependencies, which need the environment of the
# deploy file's build. Bytecode is compiled here, so that a script writes nothing but its record.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python -m compileall -q review/common_2
