#!/usr/bin/env bash
# Runs the program of one case: run-case.sh FOLDER PROGRAM. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
program=build-review-2/$2
gateway=target/programs/bronzecross/bronzecross
[ -x "$gateway" ] || gateway=build-review-2/bronzecross/programs/bronzecross/bronzecross
if [ ! -x "$program" ] || [ ! -x "$gateway" ]; then
  echo "run review/build-2.sh first" >&2
  exit 2
fi
RECORD="review/$1/record.txt" BRONZECROSS="$PWD/$gateway" TROUBLE="${TROUBLE:-1}" timeout -k 5 118 "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
