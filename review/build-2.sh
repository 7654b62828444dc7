#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library only,
# and start no other programs than those that the deploy file builds.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q small_site.py slow_clients.py 6 7 8 9 10
