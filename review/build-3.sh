#!/usr/bin/env bash
# Builds the programs and stand-ins of the cases in review/11 to review/15 into
# target/review-3. The gateway itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=${CCACHE_BASEDIR:-$PWD} CCACHE_NOHASHDIR=1
cmake -S review/cases-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j"${JOBS:-6}"
