#!/usr/bin/env bash
# Runs this case; see claim.txt. Exits with 0 (held), 1 (broken) or 2 (could not run).
cd "$(dirname "$0")" && exec python3 -B case.py
