#include "lab/box_model.h"

#include <algorithm>

namespace shorelead::lab {

BoxModel::BoxModel(const BoxSpec& spec, Millis born, bool cold)
    : spec_(spec), born_(born), cold_(cold && spec.warm_up > 0 && spec.cold_from < 1) {}

double BoxModel::warmth(Millis now) const {
  if (!cold_) return 1;
  const double part = std::clamp((now - born_) / spec_.warm_up, 0.0, 1.0);
  return spec_.cold_from + (1 - spec_.cold_from) * part;
}

double BoxModel::capacity(Millis from, Millis to) const {
  // Warmth is a straight line, so its mean is that of the ends, but for a bend where it reaches 1.
  const Millis bend = std::clamp(born_ + spec_.warm_up, from, to);
  const double area = (bend - from) * (warmth(from) + warmth(bend)) / 2 + (to - bend);
  return spec_.cores * spec_.speed * area;
}

// A budget: the work of any span must stay under multiple x capacity x span. One request more than that is
// let pass, or a single large one would push over an idle box.
bool BoxModel::falls(Millis now) {
  while (!sent_.empty() && sent_.front().at <= now - spec_.fall_span) sent_.pop_front();
  double total = 0;
  double largest = 0;
  for (const Sent& sent : sent_) {
    total += sent.work;
    largest = std::max(largest, sent.work);
  }
  return total - largest > spec_.fall_multiple * capacity(now - spec_.fall_span, now);
}

BoxModel::Verdict BoxModel::arrive(Millis now, Job job, Millis work, int from) {
  if (fallen_) return Verdict::kFell;
  if (cold(now) && spec_.fall_span > 0) {
    sent_.push_back({now, work, from});
    if (falls(now)) {
      fallen_ = true;
      for (const Sent& sent : sent_) pushed_[sent.from] += sent.work;
      return Verdict::kFell;
    }
  }
  if (static_cast<int>(running_.size()) < spec_.cores && stalled_until_ <= now && waiting_.empty()) {
    begin(now, job, work);
    return Verdict::kBegan;
  }
  if (static_cast<int>(waiting_.size()) >= spec_.queue) return Verdict::kFull;
  waiting_.push_back({job, work});
  return Verdict::kQueued;
}

void BoxModel::begin(Millis at, Job job, Millis work) {
  running_.push_back({job, at + work / (spec_.speed * slow_ * warmth(at))});
}

bool BoxModel::cancel(Job job) {
  return std::erase_if(waiting_, [job](const Waiting& waiting) { return waiting.job == job; }) > 0;
}

std::optional<Millis> BoxModel::next() const {
  std::optional<Millis> first;
  const auto sooner = [&first](Millis at) { first = first ? std::min(*first, at) : at; };
  for (const Running& running : running_) sooner(running.ends);
  // What waits while cores stand free was held by a stall.
  if (!waiting_.empty() && static_cast<int>(running_.size()) < spec_.cores) sooner(stalled_until_);
  return first;
}

std::vector<BoxModel::Step> BoxModel::advance(Millis now) {
  std::vector<Step> steps;
  while (const std::optional<Millis> at = next()) {
    if (*at > now) break;
    const auto ended = std::min_element(running_.begin(), running_.end(),
                                        [](const Running& a, const Running& b) { return a.ends < b.ends; });
    if (ended != running_.end() && ended->ends <= *at) {
      steps.push_back({ended->job, true, *at});
      running_.erase(ended);
    }
    while (!waiting_.empty() && static_cast<int>(running_.size()) < spec_.cores && stalled_until_ <= *at) {
      const Waiting first = waiting_.front();
      waiting_.pop_front();
      begin(*at, first.job, first.work);
      steps.push_back({first.job, false, *at});
    }
  }
  return steps;
}

void BoxModel::stall(Millis now, Millis until) {
  const Millis from = std::max(now, stalled_until_);
  if (until <= from) return;
  for (Running& running : running_) running.ends += until - from;
  stalled_until_ = until;
}

BoxModel::Load BoxModel::load() const {
  const int running = static_cast<int>(running_.size());
  const int waiting = static_cast<int>(waiting_.size());
  return {running + waiting, waiting, static_cast<double>(running) / spec_.cores};
}

}  // namespace shorelead::lab
