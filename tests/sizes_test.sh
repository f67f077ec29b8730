#!/usr/bin/env bash
# The check on sizes must itself fail: on a new file over the limit, on a listed one that grew, on one that came
# down and still stands on the list, and on one that is gone.
set -euo pipefail
check="$(cd "$(dirname "$0")" && pwd)/sizes.sh"
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT

lines() { seq "$1" >"$tree/$2"; }
mkdir -p "$tree"/{src/net,bench,fuzz/corpus,tests}
sound() {
  lines 250 src/net/a.cpp
  lines 251 fuzz/corpus/input
  lines 400 src/net/large.cpp
  printf '# lines file\n400 src/net/large.cpp\n' >"$tree/tests/over_250.txt"
}
refused() {
  "$check" "$tree" >/dev/null && { echo "sizes: $1 was let pass"; exit 1; }
  sound
}

sound
"$check" "$tree" >/dev/null || { echo "sizes: a sound tree was refused"; exit 1; }
lines 390 src/net/large.cpp
"$check" "$tree" >/dev/null || { echo "sizes: a listed file that shrank was refused"; exit 1; }
sound
lines 251 src/net/a.cpp
refused "a file of 251 lines that is not on the list"
lines 401 src/net/large.cpp
refused "a listed file that grew"
lines 250 src/net/large.cpp
refused "a listed file that came down to the limit"
rm "$tree/src/net/large.cpp"
refused "a listed file that is gone"
echo "sizes: ok"
