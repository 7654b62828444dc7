#!/bin/sh
# Builds the stand-ins that the scripts start: their bytecode, below target/.
# They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
