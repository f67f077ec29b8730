// Rules 3 and 4: nothing new to a box that was told draining or gone, no cold box pushed over.
#include <algorithm>

#include "lab/audit_view.h"
#include "lab/list_notice.h"

namespace shorelead::lab {
namespace {

struct Word {
  Millis at = 0;
  BoxState state = BoxState::kReady;
};

// What each node was told of each box, in order of time.
class Words {
 public:
  explicit Words(const RunView& view) : view_(view) {
    for (const Told& told : view.run.told) told_[{told.node, told.box}].push_back({told.at, told.state});
    // What came true counts as told so long after it, at every node.
    if (view.limits.told_after > 0) {
      for (const Changed& changed : view.run.changed) {
        for (int node = 0; node < view.run.node_count; ++node) {
          told_[{node, changed.box}].push_back({changed.at + view.limits.told_after, changed.state});
        }
      }
    }
    for (auto& [key, list] : told_) {
      std::sort(list.begin(), list.end(), [](const Word& a, const Word& b) { return a.at < b.at; });
    }
  }

  // The last word that this node had, since it started, about this box.
  const Word* last(int node, int box, Millis before) const {
    const Millis started = view_.started(node, before);
    const auto it = told_.find({node, box});
    if (it == told_.end()) return nullptr;
    const Word* last = nullptr;
    for (const Word& word : it->second) {
      if (word.at < started || word.at > before) continue;
      // Word of a drain again changes nothing: its time counts from the first.
      if (last == nullptr || (last->state == BoxState::kReady) != (word.state == BoxState::kReady))
        last = &word;
    }
    return last;
  }

  bool told_ready(int node, int box, Millis before) const {
    const auto it = told_.find({node, box});
    return it != told_.end() && std::any_of(it->second.begin(), it->second.end(), [&](const Word& w) {
             return w.state == BoxState::kReady && w.at <= before;
           });
  }

 private:
  const RunView& view_;
  std::map<std::pair<int, int>, std::vector<Word>> told_;
};

void judge_drain(const RunView& view, const Arrived& arrived, Millis told_at, const std::string& told,
                 Audit& audit) {
  // Who stands still reads nothing.
  const Millis since =
      arrived.first_byte - told_at - view.paused_within(arrived.node, told_at, arrived.first_byte);
  audit.worst_drain = std::max(audit.worst_drain, since);
  if (since <= view.run.drain_grace + view.limits.slack) return;
  Findings(audit).add(Breach::kDrained, arrived.id, arrived.first_byte,
                      "node " + std::to_string(arrived.node) + " was told " + told + " " + view.at(told_at) +
                          "; " + view.attempt(arrived));
}

// By each sentence that says when a change counts as told, where the record has what they go by.
void judge_drains_by_notices(const RunView& view, Audit& audit) {
  const ListNotices notices(view.run);
  for (const Arrived& arrived : view.run.arrived) {
    const auto notice = notices.withdrawn(arrived.node, arrived.box, arrived.first_byte);
    if (!notice) continue;
    judge_drain(view, arrived, notice->at, std::string("(") + name_of(notice->by) + ")", audit);
  }
}

// By what was written to the node alone.
void judge_drains_by_words(const RunView& view, const Words& words, Audit& audit) {
  for (const Arrived& arrived : view.run.arrived) {
    const Word* const word = words.last(arrived.node, arrived.box, arrived.first_byte);
    if (word == nullptr || word->state == BoxState::kReady) continue;
    judge_drain(view, arrived, word->at, name_of(word->state), audit);
  }
}

// Broken if two thirds of the work came from nodes that were told of its start.
void judge_fall(const RunView& view, const Words& words, const Fallen& fallen, Audit& audit) {
  double all = 0;
  double told = 0;
  std::string by;
  for (const auto& [node, work] : fallen.work) {
    all += work;
    const bool knew = words.told_ready(node, fallen.box, fallen.at);
    if (knew) told += work;
    by += " node " + std::to_string(node) + (knew ? " (told)" : " (not told)") + " " +
          std::to_string(static_cast<int>(work)) + " ms;";
  }
  if (told * 3 < all * 2) return;
  Findings(audit).add(Breach::kPushedOver, "", fallen.at,
                      view.host(fallen.box) + " fell over " + view.at(fallen.at) + ", work sent within " +
                          std::to_string(static_cast<int>(fallen.span)) + " ms:" + by);
}

}  // namespace

void judge_boxes(const RunView& view, Audit& audit) {
  const Words words(view);
  for (const Arrived& arrived : view.run.arrived) {
    if (arrived.last_byte > 0 && view.asked(arrived.id) == nullptr) {
      ++audit.unknown_at_boxes;
      Findings(audit).add(Breach::kInvented, arrived.id, arrived.first_byte,
                          "a box was sent a request that no client made: " + view.attempt(arrived));
    }
  }
  view.run.lists_recorded ? judge_drains_by_notices(view, audit) : judge_drains_by_words(view, words, audit);
  for (const Fallen& fallen : view.run.fallen) judge_fall(view, words, fallen, audit);
}

}  // namespace shorelead::lab
