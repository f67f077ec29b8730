#!/usr/bin/env bash
# End-to-end test of `shorelead config migrate`: output, exit codes, and that existing files stay unchanged.
set -euo pipefail
shorelead=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
fail() { echo "migrate_test: $1"; exit 1; }
expect() {  # expected exit code, then the call
  local want=$1 got=0
  shift
  "$@" >out 2>err || got=$?
  [ "$got" -eq "$want" ] || { cat err; fail "exit code $got, not $want: $*"; }
}
cat >old.json <<'JSON'
{"name":"n3","listen":"127.0.0.4:8081","discovery":"127.0.0.5:8500","seed":"8c1f30d27a5be964",
 "settings":{"Instances":3,"Me":0,"RegistryMode":"subscribe",
  "Services":[{"Name":"check","Aim":400,"GiveUp":1000,"Effect":"pure"}],
  "Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},
  "Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000}}}
JSON
cp old.json kept.json
expect 3 "$shorelead" config migrate old.json --nodes 97 --index 3 --dry-run --output new.json
[ ! -e new.json ] || fail "a dry run wrote"
expect 3 "$shorelead" config migrate old.json --nodes 97 --index 3 --output new.json
grep -q "left seed" err || fail "what is left is not said"
expect 0 env NODE_CONFIG=new.json "$shorelead" check-config
cp new.json first.json
expect 1 "$shorelead" config migrate old.json --nodes 97 --index 3 --output new.json
grep -q "there already" err || fail "a file that is there was not named"
expect 3 "$shorelead" config migrate old.json --nodes 97 --index 3 --output new.json --replace
cmp -s new.json first.json || fail "a second run gave something else"
expect 1 "$shorelead" config migrate old.json --output old.json --replace
expect 0 "$shorelead" config migrate new.json
grep -q "new shape already" err || fail "a file of the new shape was not said to be so"
expect 1 "$shorelead" config migrate nowhere.json --output made.json
head -c 100 old.json >cut.json
expect 1 "$shorelead" config migrate cut.json --output made.json
grep -Eq "cut.json:[0-9]+:[0-9]+: " err || { cat err; fail "the place of the mistake is not said"; }
[ ! -e made.json ] || fail "something was written for a broken file"
cmp -s old.json kept.json || fail "the old file was touched"
echo "migrate_test: ok"
