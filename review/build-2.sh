#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: Python modules of the standard
# library only. The scripts start the entries from target/deps, which deploy/build.sh makes.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins_2/*.py
