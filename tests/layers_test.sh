#!/usr/bin/env bash
# The check on layers must itself fail: on an arrow that runs the wrong way, and on a folder that has no line.
set -euo pipefail
check="$(cd "$(dirname "$0")" && pwd)/layers.sh"
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT

mkdir -p "$tree/src/net"
echo '#include "base/millis.h"' >"$tree/src/net/a.h"
"$check" "$tree" >/dev/null || { echo "layers: a sound tree was refused"; exit 1; }
echo '#include "policy/policy.h"' >"$tree/src/net/b.h"
"$check" "$tree" >/dev/null && { echo "layers: net/ including policy/ was let pass"; exit 1; }
rm "$tree/src/net/b.h"
mkdir "$tree/src/unheard"
"$check" "$tree" >/dev/null && { echo "layers: a folder without a line was let pass"; exit 1; }
echo "layers: ok"
