#!/usr/bin/env bash
# Builds the cases and every stand-in that they start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review -j6
