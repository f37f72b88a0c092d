#!/usr/bin/env bash
# Exits with 1 if a task of a job starts whose attempts were all rejected, 0 if none does, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/2/case.py
