#!/bin/sh
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if it couldn't
# run. With TROUBLE=0 it plays the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
PYTHONPATH="$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
