#!/usr/bin/env bash
# Exits with 1 if an accepted job is lost, 0 if none is, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/1/case.py
