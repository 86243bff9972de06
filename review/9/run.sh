#!/usr/bin/env bash
# Requests that may run once run again: see claim.txt.
exec "$(dirname "$0")/../cases-2/run-case.sh" 9 case_run_twice
