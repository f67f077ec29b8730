// Which backends are spared: those that fail much rest, as the outcomes of our own attempts tell, and cold
// ones are sent no more than their budget. It owns both records; it must never let one off for a request's
// sake.
#pragma once

#include "base/kept_median.h"
#include "base/span_budget.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kFailureGain = 0.25;   // weight of one outcome in the share of failures
constexpr double kErrorGain = 0.5;      // and of an error, which no crowd explains
constexpr double kBaselineGain = 0.05;  // weight of one in what is baseline; where that is failing, a further
constexpr double kBaselineDamping = 20;    // failure says less: by one plus this times what is baseline
constexpr std::size_t kMedianParts = 128;  // a median is worked out anew once one in so many had an outcome
constexpr double kEjectionFailureShare = 0.8;  // failing more than this, and
constexpr double kEjectionMargin = 0.4;        // this much more than the fleet, a backend rests
constexpr Millis kMinEjection = 1000;          // first rest; doubles while it goes on failing
constexpr Millis kMaxEjection = 8000;          // longest rest
constexpr double kSlowStartSafety = 0.5;       // of a cold backend's budget, for what a node cannot see
constexpr double kSlowStartTurn =
    2;  // requests for which a turn to a cold backend is open, a fall span at most

class Health {
 public:
  Health(const Context& context, const Lists& lists) : context_(context), lists_(lists) {}
  void reset(BackendId i) {
    records_[i].assign(record_index(static_cast<int>(context_.settings.classes.size())), {});
  }
  void settings_changed() {
    for (auto& records : records_)
      records.resize(record_index(static_cast<int>(context_.settings.classes.size())));
  }

  // Of a backend that is ready: whatever is asked, or for this class.
  bool ejected(BackendId i, Millis now) const {
    return now < std::max(records_[i][0].ejected_until, records_[i][1].ejected_until);
  }
  bool ejected_for(BackendId i, int request_class) const {
    const std::vector<Record>& all = records_[i];
    const std::size_t n = record_index(request_class);
    return context_.now < std::max({all[0].ejected_until, all[1].ejected_until, all[n].ejected_until,
                                    all[n + 1].ejected_until});
  }

  // Exception "health": a backend may fail, hang or fail one class while its probes pass. One that fails much
  // more than the others rests, ever longer; after a rest one more failure suffices for the next.
  void record_outcome(BackendId i, int request_class, Outcome outcome) {
    const bool silent = outcome == Outcome::kNoAnswer;
    const bool unreachable = outcome == Outcome::kNoConnection;
    const bool error = unreachable || outcome == Outcome::kError || outcome == Outcome::kConnectionLost;
    if (!silent && !error && outcome != Outcome::kServed) return;
    ++outcomes_;
    std::vector<Record>& all = records_[i];
    for (const std::size_t n : {std::size_t{0}, record_index(request_class)}) {
      update(all[n], n, silent, kFailureGain);
      update(all[n + 1], n + 1, error, unreachable && n == 0 ? 1 : kErrorGain);
    }
  }

 private:
  struct Record {
    double failing = 0;
    double baseline = 0;       // the same over more of them
    Millis ejected_until = 0;  // it rests
    Millis ejection = 0;
  };
  // Silences (even) and errors (odd), as a crowd explains only the first; over all classes, then of each.
  static std::size_t record_index(int request_class) {
    return 2 * static_cast<std::size_t>(request_class) + 2;
  }

  void update(Record& h, std::size_t n, bool bad, double gain) {
    h.baseline += kBaselineGain * ((bad ? 1.0 : 0.0) - h.baseline);
    // Where connections break everywhere, some failures in a row are chance.
    if (bad) gain /= 1 + kBaselineDamping * median_of(n, &Record::baseline);
    h.failing += gain * ((bad ? 1.0 : 0.0) - h.failing);
    if (!bad && h.failing < 1 - kEjectionFailureShare) h.ejection = 0;
    if (!bad || h.failing <= kEjectionFailureShare || context_.now < h.ejected_until) return;
    // Compared with the median backend, so most never rest at once.
    if (h.failing <= median_of(n, &Record::failing) + kEjectionMargin) return;
    h.ejection = std::clamp(h.ejection * 2, kMinEjection, kMaxEjection);
    h.ejected_until = context_.now + h.ejection;
    h.failing = kEjectionFailureShare;
  }

  // Over all ready backends; worked out anew once one in kMedianParts of them had an outcome.
  double median_of(std::size_t n, double Record::*figure) {
    return medians_[n * 2 + (figure == &Record::baseline)].at(outcomes_, kMedianParts, [&] {
      std::vector<double> all;
      for (BackendId i = 0; i < lists_.size(); ++i) {
        if (lists_.ready(i)) all.push_back(records_[i][n].*figure);
      }
      return all;
    });
  }

  const Context& context_;
  const Lists& lists_;
  Grown<std::vector<Record>> records_;
  Grown<KeptMedian> medians_;
  std::uint64_t outcomes_ = 0;  // judged so far
};

// Rule "a cold backend is not pushed over": no more than this node's part in any fall span. A part under
// one request comes in turns, open for some two requests and then lost: kept, all would come at once.
class SlowStartBudgets {
 public:
  SlowStartBudgets(Context& context, const estimate::Backends& known)
      : context_(context), estimates_(known) {}
  void begin(BackendId i) { records_[i].begin(context_.random.unit(), context_.now, estimates_.started(i)); }
  // Of a cold one.
  bool has_budget(BackendId i) {
    const Settings& s = context_.settings;
    const double capacity = estimates_.finishes(i, s.fall_span);
    const double budget =
        kSlowStartSafety * s.fall_multiple * estimates_.warmth(i) * capacity / context_.sharers;
    const double open = budget * std::min(1.0, kSlowStartTurn / estimates_.arrivals(s.fall_span));
    return records_[i].room(budget, s.fall_span, open, context_.now);
  }
  void sent(BackendId i) {
    if (estimates_.cold(i)) records_[i].spend(context_.now);
  }

 private:
  Context& context_;
  const estimate::Backends& estimates_;
  Grown<SpanBudget> records_;
};

}  // namespace shorelead::policy
