#!/bin/sh
# Builds the stand-ins of the cases, which are Python files without
# dependencies. The system itself is built by the command in
# deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in common/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
