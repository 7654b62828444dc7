#!/bin/sh
# Builds the stand-ins that the scripts start: bytecode of review/stand_ins.
# They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins
