#!/usr/bin/env bash
# Mutation test of the guard: builds it without each of its conditions in turn and prints which tests fail then: the
# guard's own test, the tests of crossings and those of whole nodes, whose checkers count violations. Run by hand, not in
# CI, as each condition takes a build. Fails if no test fails for a condition.
#   mutants.sh BUILD [REASON...]      BUILD: a folder of its own, configured with -DSHORELEAD_TESTS=ON
set -euo pipefail
here=$(cd "$(dirname "$0")/../.." && pwd)
build=$1
shift
reasons=("$@")
if [ "${#reasons[@]}" -eq 0 ]; then
  mapfile -t reasons < <(grep -oE '^ *k[A-Z][A-Za-z]+,' "$here/src/guard/guard.h" | tr -d ' ,' | grep -v kAllowed)
fi
status=0
for reason in "${reasons[@]}"; do
  cmake -S "$here" -B "$build" -DSHORELEAD_GUARD_WITHOUT="$reason" >/dev/null
  cmake --build "$build" -j"$(nproc)" >/dev/null
  said=$(ctest --test-dir "$build" -j"$(nproc)" -R '^(Guard|Checker|Crossings|Node|Faults|PolicyHost|Front|Upstream|policy_stream)' \
         -E 'Cold|SlowStartOfANewBackend|ListsSim|SettingsKeys' 2>&1 || true)
  missed=$(grep -oE '[A-Za-z_.]+ *\.+\*\*\*[A-Za-z]+' <<<"$said" | sed 's/ *\.*\*\*\*.*//' | sort -u | tr '\n' ' ')
  echo "without $reason: ${missed:-no test fails}"
  [ -n "$missed" ] || status=1
done
exit "$status"
