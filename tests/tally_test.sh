#!/usr/bin/env bash
# The tally over the logs of many nodes: counts by second and by backend, across a restart, in both time formats.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cat >"$scratch/n1.log" <<'LOG'
0.100 2026-12-01T10:00:00.100 n1 info serving on 127.0.0.1:1, discovery at 127.0.0.1:2, list 0 with 2 backends
0.200 2026-12-01T10:00:00.200 n1 debug attempt 1.0 to s-1
1.300 2026-12-01T10:00:01.300 n1 debug attempt 1.0 served 1100.0 ms
1.400 2026-12-01T10:00:01.400 n1 debug attempt 2.0 to s-1
1.500 2026-12-01T10:00:01.500 n1 info serving on 127.0.0.1:1, discovery at 127.0.0.1:2, list 0 with 2 backends
1.600 2026-12-01T10:00:01.600 n1 debug attempt 2.0 timeout 200.0 ms
LOG
cat >"$scratch/n2.log" <<'LOG'
0.000 2026-12-01T10:00:00.000 n2 debug attempt 1.0 to s-2
0.500 2026-12-01T10:00:00.500 n2 debug attempt 1.0 erred 500.0 ms
0.600 2026-12-01T10:00:00.600 n2 debug refused 1
1.900 2026-12-01T10:00:01.900 n2 warning pool main: watch on the list ended: turned_away
LOG
expect() {
  local found
  found=$(bench/tally/tally "$1" "$scratch" | sed 's/  */ /g')
  [ "$found" = "$2" ] || { printf 'tally %s: found\n%s\nbut wanted\n%s\n' "$1" "$found" "$2"; exit 1; }
}
seconds=$'second sent served timeout erred refused watch_turned_away\n0 2 0 0 1 1 0\n1 1 1 1 0 0 1'
boxes=$'box all served timeout erred\ns-2 1 0 0 1\ns-1 1 1 0 0\n? 1 0 1 0'
expect second "$seconds"
expect box "$boxes"
sed -i 's/^[0-9.]* //' "$scratch"/*.log
expect second "$seconds"
if bench/tally/tally second "$scratch/nowhere" 2>/dev/null; then echo "tally: a folder without logs was taken"; exit 1; fi
echo "tally: as it should be"
