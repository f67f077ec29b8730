// Which backends are spared: those that fail much rest, as the outcomes of our own attempts tell, and cold
// ones are sent no more than their budget. It owns both records; it must never let one off for a request's
// sake.
#pragma once

#include "base/kept_median.h"
#include "base/span_budget.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kHealthGain = 0.25;       // weight of one outcome in the share of failures
constexpr double kErrorGain = 0.5;         // and of an error, which no crowd explains
constexpr double kUsualGain = 0.05;        // weight of one in what is usual; where that is failing, a further
constexpr double kUsualDoubt = 20;         // failure says less: by one plus this times what is usual
constexpr std::size_t kMedianParts = 128;  // a median is worked out anew once one in so many had an outcome
constexpr double kSickShare = 0.8;         // failing more than this, and
constexpr double kSickMargin = 0.4;        // this much more than the fleet, a backend rests
constexpr Millis kRestMin = 1000;          // first rest; doubles while it goes on failing
constexpr Millis kRestMax = 8000;          // longest rest
constexpr double kColdSafety = 0.5;        // of a cold backend's budget, for what a node cannot see
constexpr double kColdTurn = 2;  // requests for which a turn to a cold backend is open, a fall span at most

class Health {
 public:
  Health(const Context& context, const Lists& lists) : c_(context), lists_(lists) {}
  void welcome(BackendId i) { of_[i].assign(of_class(static_cast<int>(c_.settings.classes.size())), {}); }
  void settings_changed() {
    for (auto& records : of_) records.resize(of_class(static_cast<int>(c_.settings.classes.size())));
  }

  // Of a backend that is ready: whatever is asked, or for this class.
  bool rests(BackendId i, Millis now) const { return now < std::max(of_[i][0].until, of_[i][1].until); }
  bool rests_for(BackendId i, int request_class) const {
    const std::vector<Record>& all = of_[i];
    const std::size_t n = of_class(request_class);
    return c_.now < std::max({all[0].until, all[1].until, all[n].until, all[n + 1].until});
  }

  // Exception "health": a backend may fail, hang or fail one class while its probes pass. One that fails much
  // more than the others rests, ever longer; after a rest one more failure suffices for the next.
  void learn(BackendId i, int request_class, Outcome outcome) {
    const bool silent = outcome == Outcome::kNoAnswer;
    const bool unreachable = outcome == Outcome::kNoConnection;
    const bool error = unreachable || outcome == Outcome::kError || outcome == Outcome::kConnectionLost;
    if (!silent && !error && outcome != Outcome::kServed) return;
    ++outcomes_;
    std::vector<Record>& all = of_[i];
    for (const std::size_t n : {std::size_t{0}, of_class(request_class)}) {
      judge(all[n], n, silent, kHealthGain);
      judge(all[n + 1], n + 1, error, unreachable && n == 0 ? 1 : kErrorGain);
    }
  }

 private:
  struct Record {
    double failing = 0;
    double usual = 0;  // the same over more of them
    Millis until = 0;  // it rests
    Millis rest = 0;
  };
  // Silences (even) and errors (odd), as a crowd explains only the first; over all classes, then of each.
  static std::size_t of_class(int request_class) { return 2 * static_cast<std::size_t>(request_class) + 2; }

  void judge(Record& h, std::size_t n, bool bad, double gain) {
    h.usual += kUsualGain * ((bad ? 1.0 : 0.0) - h.usual);
    // Where connections break everywhere, some failures in a row are chance.
    if (bad) gain /= 1 + kUsualDoubt * median_of(n, &Record::usual);
    h.failing += gain * ((bad ? 1.0 : 0.0) - h.failing);
    if (!bad && h.failing < 1 - kSickShare) h.rest = 0;
    if (!bad || h.failing <= kSickShare || c_.now < h.until) return;
    // Compared with the median backend, so most never rest at once.
    if (h.failing <= median_of(n, &Record::failing) + kSickMargin) return;
    h.rest = std::clamp(h.rest * 2, kRestMin, kRestMax);
    h.until = c_.now + h.rest;
    h.failing = kSickShare;
  }

  // Over all ready backends; worked out anew once one in kMedianParts of them had an outcome.
  double median_of(std::size_t n, double Record::*figure) {
    return medians_[n * 2 + (figure == &Record::usual)].at(outcomes_, kMedianParts, [&] {
      std::vector<double> all;
      for (BackendId i = 0; i < lists_.size(); ++i) {
        if (lists_.ready(i)) all.push_back(of_[i][n].*figure);
      }
      return all;
    });
  }

  const Context& c_;
  const Lists& lists_;
  Grown<std::vector<Record>> of_;
  Grown<KeptMedian> medians_;
  std::uint64_t outcomes_ = 0;  // judged so far
};

// Rule "a cold backend is not pushed over": no more than this node's part in any fall span. A part under
// one request comes in turns, open for some two requests and then lost: kept, all would come at once.
class SlowStartBudgets {
 public:
  SlowStartBudgets(Context& context, const estimate::Backends& known) : c_(context), known_(known) {}
  void welcome(BackendId i) { of_[i].begin(c_.random.unit(), c_.now, known_.started(i)); }
  // Of a cold one.
  bool room(BackendId i) {
    const Settings& s = c_.settings;
    const double capacity = known_.finishes(i, s.fall_span);
    const double budget = kColdSafety * s.fall_multiple * known_.warmth(i) * capacity / c_.sharers;
    const double open = budget * std::min(1.0, kColdTurn / known_.arrivals(s.fall_span));
    return of_[i].room(budget, s.fall_span, open, c_.now);
  }
  void sent(BackendId i) {
    if (known_.cold(i)) of_[i].spend(c_.now);
  }

 private:
  Context& c_;
  const estimate::Backends& known_;
  Grown<SpanBudget> of_;
};

}  // namespace shorelead::policy
