#!/usr/bin/env bash
# Plays the case; review/build.sh builds it. Exit code: 1 broken, 0 held,
# 2 could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case_5 ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/case_5 review/5
