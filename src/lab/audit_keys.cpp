// F3: one box a key. Under a rule that must be kept, requests with one key are
//   - never in work at two boxes at once by two processes;
//   - never back at the box before while another process already used the next: a key that has moved from one
//     box to another and back was closed, acknowledged and opened twice, which takes `back_after` at least.
//     Who comes back sooner has kept the old map.
//
// A send lies at most the slack before its first byte at the box, and not before the client began to ask or
// while the process stood still; two sends are in order only where that leaves no doubt.
#include <algorithm>

#include "lab/audit_view.h"

namespace shorelead::lab {
namespace {

struct Send {
  const Arrived* arrived = nullptr;
  int unit = 0;                    // box, cell or zone
  std::pair<int, Millis> process;  // its number, and when it was started
  Millis low = 0;                  // not sent before
  Millis high = 0;                 // and there by then
  Millis until = 0;                // surely in work from `high` to here
};

class Keys {
 public:
  Keys(const RunView& view, Audit& audit) : view_(view), findings_(audit) {}

  void judge(const KeyRule& rule) {
    std::map<std::string, std::vector<Send>> by_key;
    for (const Asked& asked : view_.run.asked) {
      const std::string& key = rule.tenant ? asked.tenant : asked.basket;
      if (key.empty() || !view_.in_scope(asked, rule.scope)) continue;
      for (const Arrived* a : view_.attempts(asked.id)) {
        if (view_.in_pool(*a, rule.scope)) by_key[key].push_back(send(rule, asked, *a));
      }
    }
    for (auto& [key, sends] : by_key) {
      std::sort(sends.begin(), sends.end(), [](const Send& a, const Send& b) { return a.high < b.high; });
      judge_at_once(rule, key, sends);
      judge_back(rule, key, sends);
    }
  }

 private:
  Send send(const KeyRule& rule, const Asked& asked, const Arrived& a) const {
    const Millis slack = view_.limits.slack;
    Send s;
    s.arrived = &a;
    s.unit = view_.unit_of(a, rule.to);
    s.process = {a.node, view_.started(a.node, a.first_byte)};
    s.high = a.first_byte;
    s.low = std::min(s.high, view_.awake(asked.node, std::max(asked.intended, a.first_byte - slack)));
    s.until = view_.in_work(a).to;
    return s;
  }

  void tell(const KeyRule& rule, const std::string& key, const Send& s, const std::string& what) {
    findings_.add(Breach::kTwoBoxes, s.arrived->id, s.high,
                  "rule " + rule.name + ", key " + key + ": " + what);
  }

  void judge_at_once(const KeyRule& rule, const std::string& key, const std::vector<Send>& sends) {
    std::vector<const Send*> open;
    for (const Send& s : sends) {
      std::erase_if(open, [&](const Send* o) { return o->until <= s.high; });
      const auto other = std::find_if(open.begin(), open.end(), [&](const Send* o) {
        return o->unit != s.unit && o->process != s.process;
      });
      if (other != open.end()) {
        tell(rule, key, s, view_.attempt(*(*other)->arrived) + "; at once with " + view_.attempt(*s.arrived));
      }
      open.push_back(&s);
    }
  }

  // `back` at box A, `between` at box B by another process before it, and `old` at A before that.
  void judge_back(const KeyRule& rule, const std::string& key, const std::vector<Send>& sends) {
    for (std::size_t n = 2; n < sends.size(); ++n) find_back(rule, key, sends, n);
  }

  void find_back(const KeyRule& rule, const std::string& key, const std::vector<Send>& sends, std::size_t n) {
    const Send& back = sends[n];
    for (std::size_t m = n; m-- > 1 && sends[m].high > back.low - rule.back_after;) {
      const Send& between = sends[m];
      if (between.unit == back.unit || between.high >= back.low) continue;
      for (std::size_t k = m; k-- > 0 && sends[k].high > back.low - rule.back_after;) {
        const Send& old = sends[k];
        if (old.unit != back.unit || old.high >= between.low) continue;
        if (between.process == back.process && between.process == old.process) continue;
        tell(rule, key, back,
             view_.attempt(*old.arrived) + "; then " + view_.attempt(*between.arrived) + "; then back, " +
                 view_.attempt(*back.arrived));
        return;
      }
    }
  }

  const RunView& view_;
  Findings findings_;
};

}  // namespace

void judge_keys(const RunView& view, Audit& audit) {
  Keys keys(view, audit);
  for (const KeyRule& rule : view.run.fleet.keys) {
    if (rule.must) keys.judge(rule);
  }
}

}  // namespace shorelead::lab
