#!/usr/bin/env bash
# An item that fails at each run, and rolling restarts: see claim.txt.
exec "$(dirname "$0")/../cases-2/run-case.sh" 9 case_failing_item
