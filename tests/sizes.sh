#!/usr/bin/env bash
# Holds the size of files: at most 250 lines each under src, bench, fuzz and tests. Those that were larger when
# this began stand in tests/over_250.txt with their lines then; that list can only shrink. Takes the folder that
# holds them, so that it can be tried on a tree that breaks it.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
most=250
list=tests/over_250.txt

fail=0
declare -A listed=()
while read -r lines file; do
  case "$lines" in '' | '#'*) continue ;; esac
  listed[$file]=$lines
  if [ ! -f "$file" ]; then echo "$list: $file is gone: take it off"; fail=1; fi
done <"$list"

while IFS= read -r file; do
  lines=$(wc -l <"$file")
  if [ -z "${listed[$file]:-}" ]; then
    [ "$lines" -le "$most" ] || { echo "$file: $lines lines, at most $most"; fail=1; }
  elif [ "$lines" -le "$most" ]; then
    echo "$list: $file has come down to $lines lines: take it off"; fail=1
  elif [ "$lines" -gt "${listed[$file]}" ]; then
    echo "$file: $lines lines, was ${listed[$file]} and may only shrink"; fail=1
  fi
done < <(find src bench fuzz tests -path fuzz/corpus -prune -o -type f ! -name '*.txt' ! -name '*.md' -print | sort)
[ "$fail" -eq 0 ] && echo "sizes: ok, ${#listed[@]} files still over $most lines"
exit "$fail"
