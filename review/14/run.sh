#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 0 held, 1 broken, 2 could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/hot_request_blocked
if [ ! -x "$program" ] || [ ! -x target/programs/bronzecross/bronzecross ]; then
  echo "not built: run the build of deploy/system.toml, then review/build-3.sh"
  exit 2
fi
exec "$program"
