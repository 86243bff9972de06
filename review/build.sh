#!/usr/bin/env bash
# Builds the cases and every stand-in that they start, into target/review, and
# before them the programs, as the deploy file says, if that was not done yet.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/programs/bronzecross/bronzecross ]; then
  bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review -j6
