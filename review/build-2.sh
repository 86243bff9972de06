#!/usr/bin/env bash
# Builds the programs of the second review's script cases, with every stand-in
# that they start, into build-review-2/. It also builds the gateway there, which
# the scripts use if the build of the deploy file has left none in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/cases-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review-2 -j "${JOBS:-6}"
