#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apps/jujubespand ] || exit 2
exec python3 review/10/case.py
