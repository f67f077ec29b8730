#!/usr/bin/env bash
# Mutation test of the lease on the list: builds it without each of its rules in turn and prints which of its tests fail
# then. Run by hand, not in CI. Fails if no test fails for a rule, or if a rule's text is no longer there.
#   mutants.sh
set -euo pipefail
here=$(cd "$(dirname "$0")/../.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# A rule, and what replaces its text in list_lease.cpp (sed).
rules=(
  "validity counts from the start of a call|s/std::max(current_until_, last_call_at_)/now/"
  "a keep-alive may be as old as its interval|s/now - kSignInterval/now/"
  "a list in part binds|s/^void ListLease::list_incomplete.*/void ListLease::list_incomplete(Millis) {}/"
  "an interrupted call binds|/list_incomplete(occurred_at);\$/d"
  "a reset of the watch binds|s/watch_reset_at_ = std::min(watch_reset_at_, occurred_at);//"
  "only a current list stands still|s/if (current_before_outage_) current_until_/current_until_/"
  "a reset binds unless the list was current|s/if (current_before_outage_) watch_reset_at_ = kNever/watch_reset_at_ = kNever/"
  "a list is current up to 100 ms|s/current_before_outage_ = .*/current_before_outage_ = true;/"
  "pushed: what a silent watch missed binds at its end|s/if (!current_before_outage_ \&\& terms_.pushed) return;.*//"
  "proofs follow the end of the watch|s/if (now - watch_end_seen_at_ > kMaxTimeToProof) return;//"
  "proofs follow each other|s/now - last_proof_at_ <= kMaxTimeBetweenProofs/true/"
  "no proof while watching or after a move|s/if (watching_ || discovery_changed_at_ < kNever) return;.*//"
  "what ran out stays so|s/if (now >= lapses_at).*//"
  "a move of discovery binds after its delay|s/  consider(discovery_changed_at_.*//"
  "the first of several moves binds|s/std::min(discovery_changed_at_, requested_at)/requested_at/"
  "a watch that ended in order binds after its delay|s/  consider(untold_since_.*//"
  "it goes on to bind when calls fail|s/if (how == CallEnd::kFailed) {/&untold_since_ = kNever;/"
  "nobody is told while discovery is away|s/untold_since_ += out_of_reach//"
  "the age binds|s/Bound earliest{current_until_ + kMaxAge/Bound earliest{current_until_ + 2 * kMaxAge/"
  "the time without a watch binds|s/consider(held_since() + hold_time(), Limit::kNoCall);//"
  "pushed: the end of the watch binds|s/consider(std::max(watch_ended_at_, last_proof_at_), Limit::kWatchEnded);//"
  "a late pushed list proves nothing|s/late \&\& terms_.pushed ? std::min(unfinished_at_, last_call_at_) : kNever/kNever/"
  "the pause of the process comes off the grace|s/ - kMaxPause//"
)
status=0
for rule in "${rules[@]}"; do
  name=${rule%%|*}
  sed "${rule#*|}" "$here/src/membership/list_lease.cpp" >"$folder/list_lease.cpp"
  if cmp -s "$folder/list_lease.cpp" "$here/src/membership/list_lease.cpp"; then
    echo "$name: its text is not there"
    status=1
    continue
  fi
  "${CXX:-c++}" -std=c++20 -O1 -I"$here/src" -I"$here/tests" -o "$folder/test" "$folder/list_lease.cpp" \
    "$here"/tests/membership/{list_lease,interrupted_lease,lease_histories}_test.cpp -lgtest_main -lgtest -lrapidcheck -lpthread
  failed=$("$folder/test" --gtest_brief=1 2>&1 | grep -oE '^\[  FAILED  \] [A-Za-z.]+ ' | awk '{print $4}' | sort -u | tr '\n' ' ' || true)
  echo "without \"$name\": ${failed:-no test fails}"
  [ -n "$failed" ] || status=1
done
exit "$status"
