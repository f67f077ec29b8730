#!/usr/bin/env bash
# Holds the layers: which folder under src/ may include which. One line a folder; a folder without a line, or
# an include that its line does not name, fails. Takes the folder that holds src/, so that it can be tried on
# a tree that breaks it.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"

declare -A may=(
  [base]="base"
  [peers]="base peers"
  [estimate]="base estimate"
  [guard]="base guard"
  [policy]="base estimate guard peers limits policy"
  [net]="base net"
  [subset]="base subset"
  [limits]="base limits"
  [manage]="base manage"
  [files]="files"
  [handover]="base files net manage handover"
  [language]="base files language"
  [routing]="base routing"
  [settings]="base policy settings"
  [membership]="base files net membership"
  [node]="base estimate guard policy settings subset limits fleet plans affinity language manage files handover routing membership net node"
  [drill]="base peers policy settings drill"
  [fleet]="base limits net membership fleet"
  [plans]="base fleet plans"
  [affinity]="base fleet affinity"

  [lab]="base policy subset lab"  # pure decisions for the scale model; never the node's parser, or it is tested against itself
)

fail=0
for folder in src/*/; do
  name=$(basename "$folder")
  if [ -z "${may[$name]:-}" ]; then echo "src/$name: no line in tests/layers.sh says what it may include"; fail=1; continue; fi
  while IFS=: read -r file line text; do
    to=$(sed -E 's/.*"([^"\/]+)\/.*/\1/' <<<"$text")
    case " ${may[$name]} " in
      *" $to "*) ;;
      *) echo "$file:$line: src/$name may not include $to/ (it may: ${may[$name]})"; fail=1 ;;
    esac
  done < <(grep -rnE '^ *#include +"[^"/]+/' --include='*.h' --include='*.cpp' "$folder" || true)
done
# The core of the fleet is pure: only the thread beside it and its client of the store know sockets.
while IFS=: read -r file line text; do
  case "$(basename "$file")" in
    control.*|plan_watch.*|record_reading.*|store.*|store_connections.*) ;;
    *) echo "$file:$line: the fleet's core may not include sockets or the registry"; fail=1 ;;
  esac
done < <(grep -rnE '^ *#include +"(net|membership)/' --include='*.h' --include='*.cpp' src/fleet 2>/dev/null || true)
exit "$fail"
