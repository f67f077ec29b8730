// Outlier ejection and slow start: ejects backends that fail much more often than the others, by the outcomes
// of this node's own attempts, and limits what a cold backend is sent to its budget. Owns both records. No
// request is exempt from either.
#pragma once

#include "base/cached_median.h"
#include "base/span_budget.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kFailureGain = 0.25;  // weight of one outcome in a backend's failure rate
// Weight of an error, which, unlike a missing answer, load does not explain.
constexpr double kErrorGain = 0.5;
constexpr double kBaselineGain = 0.05;  // weight of one outcome in the long-term failure rate
// Divides the weight of a failure by one plus this times the fleet's long-term failure rate: where failures
// are common, a single one says less.
constexpr double kBaselineDamping = 20;
// A median is computed again once one outcome for every so many backends has been recorded.
constexpr std::size_t kMedianParts = 128;
constexpr double kEjectionFailureShare = 0.8;  // a backend is ejected above this failure rate,
constexpr double kEjectionMargin = 0.4;        // if that also exceeds the fleet's median by this margin
constexpr Millis kMinEjection = 1000;          // first ejection; doubles while the backend goes on failing
constexpr Millis kMaxEjection = 8000;          // upper bound of an ejection
// Part of a cold backend's budget that is used: a node does not see all load that it gets.
constexpr double kSlowStartSafety = 0.5;
// Time for which a turn at a cold backend stays open, in mean times between two requests; at most a fall
// span.
constexpr double kSlowStartTurn = 2;

class Health {
 public:
  Health(const Context& context, const Lists& lists) : context_(context), lists_(lists) {}
  void reset(BackendId backend) {
    records_[backend].assign(record_index(static_cast<int>(context_.settings.classes.size())), {});
  }
  void settings_changed() {
    for (auto& records : records_)
      records.resize(record_index(static_cast<int>(context_.settings.classes.size())));
  }

  // For a ready backend: whether it is ejected for all classes, or for this class.
  bool ejected(BackendId backend, Millis now) const {
    return now < std::max(records_[backend][0].ejected_until, records_[backend][1].ejected_until);
  }
  bool ejected_for(BackendId backend, int request_class) const {
    const std::vector<Record>& all = records_[backend];
    const std::size_t n = record_index(request_class);
    return context_.now < std::max({all[0].ejected_until, all[1].ejected_until, all[n].ejected_until,
                                    all[n + 1].ejected_until});
  }

  // Exception "health": a backend may fail, hang, or fail one class only, while its probes pass. One that
  // fails much more often than the others is ejected, for a time that doubles; after an ejection one more
  // failure suffices for the next.
  void record_outcome(BackendId backend, int request_class, Outcome outcome) {
    const bool silent = outcome == Outcome::kNoAnswer;
    const bool unreachable = outcome == Outcome::kNoConnection;
    const bool error = unreachable || outcome == Outcome::kError || outcome == Outcome::kConnectionLost;
    if (!silent && !error && outcome != Outcome::kServed) return;
    ++outcomes_;
    std::vector<Record>& all = records_[backend];
    for (const std::size_t n : {std::size_t{0}, record_index(request_class)}) {
      update(all[n], n, silent, kFailureGain);
      update(all[n + 1], n + 1, error, unreachable && n == 0 ? 1 : kErrorGain);
    }
  }

 private:
  struct Record {
    double failure_rate = 0;
    double baseline_rate = 0;  // long-term failure rate
    Millis ejected_until = 0;
    Millis ejection_time = 0;
  };
  // Index of the first record of a class: missing answers (even) and errors (odd), first over all classes,
  // then for each class. The two are kept apart as load explains only missing answers.
  static std::size_t record_index(int request_class) {
    return 2 * static_cast<std::size_t>(request_class) + 2;
  }

  void update(Record& record, std::size_t n, bool failed, double gain) {
    record.baseline_rate += kBaselineGain * ((failed ? 1.0 : 0.0) - record.baseline_rate);
    // Where connections fail everywhere, several failures in a row may be chance.
    if (failed) gain /= 1 + kBaselineDamping * median_of(n, &Record::baseline_rate);
    record.failure_rate += gain * ((failed ? 1.0 : 0.0) - record.failure_rate);
    if (!failed && record.failure_rate < 1 - kEjectionFailureShare) record.ejection_time = 0;
    if (!failed || record.failure_rate <= kEjectionFailureShare || context_.now < record.ejected_until)
      return;
    // Compared with the median backend, so that never more than half are ejected at once.
    if (record.failure_rate <= median_of(n, &Record::failure_rate) + kEjectionMargin) return;
    record.ejection_time = std::clamp(record.ejection_time * 2, kMinEjection, kMaxEjection);
    record.ejected_until = context_.now + record.ejection_time;
    record.failure_rate = kEjectionFailureShare;
  }

  // Median over all ready backends, cached until one outcome for every kMedianParts of them has been
  // recorded.
  double median_of(std::size_t n, double Record::*figure) {
    return medians_[n * 2 + (figure == &Record::baseline_rate)].at(outcomes_, kMedianParts, [&] {
      std::vector<double> all;
      for (BackendId backend = 0; backend < lists_.size(); ++backend) {
        if (lists_.ready(backend)) all.push_back(records_[backend][n].*figure);
      }
      return all;
    });
  }

  const Context& context_;
  const Lists& lists_;
  GrowingVector<std::vector<Record>> records_;
  GrowingVector<CachedMedian> medians_;
  std::uint64_t outcomes_ = 0;  // recorded so far
};

// Slow start, rule "a cold backend is not pushed over": within any fall span this node sends it at most its
// part of the budget. A part below one request is used in turns that stay open for about two requests and are
// then lost. If they were kept, all nodes would use theirs at the same time.
class SlowStartBudgets {
 public:
  SlowStartBudgets(Context& context, const estimate::Backends& estimates)
      : context_(context), estimates_(estimates) {}
  void begin(BackendId backend) {
    records_[backend].begin(context_.random.unit(), context_.now, estimates_.started(backend));
  }
  // Whether the budget of a cold backend allows one more request now.
  bool has_budget(BackendId backend) {
    const Settings& s = context_.settings;
    const double capacity = estimates_.completions(backend, s.fall_span);
    const double budget = kSlowStartSafety * s.fall_multiple * estimates_.warmth(backend) * capacity /
                          context_.nodes_per_backend;
    const double open = budget * std::min(1.0, kSlowStartTurn / estimates_.expected_arrivals(s.fall_span));
    return records_[backend].available(budget, s.fall_span, open, context_.now);
  }
  void sent(BackendId backend) {
    if (estimates_.cold(backend)) records_[backend].spend(context_.now);
  }

 private:
  Context& context_;
  const estimate::Backends& estimates_;
  GrowingVector<SpanBudget> records_;
};

}  // namespace shorelead::policy
