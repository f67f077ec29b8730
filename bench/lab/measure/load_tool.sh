#!/usr/bin/env bash
# What the load tool can do and how exact it is, alone against one stand-in box: the box on one core, the clients on
# another. Not in CI: its figures are the machine's. Usage: load_tool.sh BUILD_FOLDER [RATE ...]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
lab="$(cd "$1" && pwd)/shorelead_lab"
shift
[ $# -gt 0 ] || set -- 2000 4000 8000 12000 16000 20000 24000 28000
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"; [ -z "${fleet:-}" ] || kill "$fleet" 2>/dev/null || true' EXIT

box() {  # experiment -> address of its box
  taskset -c 1 "$lab" fleet "$1" --folder "$scratch" --quiet --spin >"$scratch/fleet.txt" &
  fleet=$!
  until grep -q '^box s-0' "$scratch/fleet.txt"; do sleep 0.05; done
  address=$(sed -n 's/^box s-0: //p' "$scratch/fleet.txt")
}
stop() { kill "$fleet"; wait "$fleet" || true; fleet=""; }

echo "error against a box that takes 50 ms"
for seed in 1 2 3; do
  box "$here/known_delay.toml"
  taskset -c 2 "$lab" load "$here/known_delay.toml" --to "$address" --seed "$seed" --quiet --spin | grep -E '^  look|lateness'
  stop
done
echo "requests a second on one core"
for rate in "$@"; do
  sed "s/^rate = .*/rate = $rate/" "$here/capacity.toml" >"$scratch/capacity.toml"
  box "$scratch/capacity.toml"
  echo "$rate: $(taskset -c 2 "$lab" load "$scratch/capacity.toml" --to "$address" --quiet --spin | grep -E '^capacity|^  look|lateness' | tr '\n' ' ')"
  stop
done
