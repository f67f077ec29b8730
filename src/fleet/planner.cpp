#include "fleet/planner.h"

#include <algorithm>
#include <utility>

#include "fleet/slots.h"

namespace shorelead::fleet {

namespace {

constexpr double kRetriesPerLease = 20;    // retries of a lost call per lease length
constexpr double kCampaignSpread = 0.1;    // fraction of a lease over which campaigns are spread
constexpr std::uint64_t kMaxEpoch = 1e15;  // a record that reports more is wrong
constexpr double kEarlyRound = 0.25;       // fraction of a round, after a plan that left something unassigned
constexpr double kCampaignPauseLeases =
    10;  // lease lengths without a campaign, so that a process that can read the plan wins

bool same_but_for_number(Plan a, const Plan& b) {
  a.epoch = b.epoch;
  a.fence = b.fence;
  return a == b;
}

}  // namespace

Planner::Planner(std::string name, const Sharing& sharing, std::vector<Budget> budgets,
                 std::vector<std::shared_ptr<PlanShaper>> shapers, std::uint64_t seed)
    : name_(std::move(name)),
      sharing_(sharing),
      budgets_(std::move(budgets)),
      shapers_(std::move(shapers)),
      random_(seed),
      departed_(sharing, budgets_) {}

PlannerOut Planner::handle(const PlannerEvent& event, Millis now) {
  now_ = std::max(now_, now);
  if (elected() && now_ >= lease_until_) resign();
  std::visit([this](const auto& it) { on(it); }, event);
  PlannerOut out;
  call_store(out);
  out.next = now_ + sharing_.lease / kRetriesPerLease;
  if (underway_.call == 0) out.next = std::min(out.next, std::max(now_, elected() ? read_at_ : campaign_at_));
  return out;
}

bool Planner::observe(const Header& header, Millis begun) {
  const History::Observation observed = history_.observe(header, begun, now_);
  if (observed == History::Observation::kLost) {
    if (elected()) resign();
    put_.reset();
    resign_fence_ = 0;
    broken_since_ = -1;
  }
  return observed == History::Observation::kSame || observed == History::Observation::kFirst;
}

void Planner::resign() {
  ++counters_.resigned;
  fence_ = 0;
  put_.reset();
  campaign_at_ = now_ + sharing_.lease * (1 + kCampaignSpread * random_.unit());
}

void Planner::on(const LeaseValid& event) {
  // An election is valid only under the lease it was made with.
  if (elected() && event.lease != lease_) resign();
  if (event.lease != lease_) value_ = name_ + "/" + std::to_string(random_.next());
  lease_ = event.lease;
  lease_until_ = event.until;
  if (elected() && now_ >= lease_until_) resign();
}

void Planner::on(const PlannerSeen& event) {
  if (event.created == 0 && !elected()) {
    campaign_at_ = now_ + sharing_.lease * kCampaignSpread * random_.unit();
  }
  if (event.created > fence_ && elected()) resign();
}

void Planner::on(const CampaignResult& event) {
  if (!underway_.ended_by(event.call) || !observe(event.header, underway_.begun)) return;
  campaign_at_ = now_ + sharing_.lease * (1 + kCampaignSpread * random_.unit());
  if (event.value != value_ || now_ >= lease_until_) return;
  fence_ = event.created;
  departed_.reset();
  read_at_ = now_;
  ++counters_.elected;
}

void Planner::on(const Resigned& event) {
  if (underway_.ended_by(event.call) && observe(event.header, underway_.begun)) resign_fence_ = 0;
}

void Planner::on(const CallLost& event) {
  if (!underway_.ended_by(event.call)) return;
  put_.reset();
  read_at_ = now_ + sharing_.lease / kRetriesPerLease;
  campaign_at_ = std::max(campaign_at_, read_at_);
}

void Planner::on(const PlanPut& event) {
  if (!underway_.ended_by(event.call) || !observe(event.header, underway_.begun)) return;
  ++(event.done ? counters_.plans : counters_.refused);
  if (!event.done) read_at_ = now_;
  // Sooner than after a whole round: all members that see the plan have lowered their shares well before
  // that.
  if (event.done && unfinished_) read_at_ = std::min(read_at_, now_ + sharing_.plan_every * kEarlyRound);
}

void Planner::on(const AllRead& event) {
  if (!underway_.ended_by(event.call) || !observe(event.header, underway_.begun) || !elected()) return;
  if (event.planner_created != fence_) return resign();
  if (event.plan_modified != 0 && !event.plan && event.newer_form) {
    ++counters_.unreadable;
    resign_fence_ = fence_;
    resign();
    no_campaign_until_ = now_ + sharing_.lease * kCampaignPauseLeases;
    read_at_ = now_;
    return;
  }
  departed_.read(event.records, event.plan, now_);
  const bool may_raise = all_known(event);
  if (!may_raise) ++counters_.held;
  if (broken_since_ >= 0 && now_ - broken_since_ < sharing_.lease) return;
  std::optional<Plan> plan = plan_from(event, may_raise);
  if (!plan) return;
  unfinished_ = unfinished(*plan, budgets_, sharing_);
  put_ = PutPlan{0, std::move(*plan), fence_, event.plan_modified};
}

bool Planner::all_known(const AllRead& read) {
  const bool broken = read.plan_modified != 0 && !read.plan;
  if (!broken) broken_since_ = -1;
  if (broken && broken_since_ < 0) broken_since_ = now_;
  if (broken || read.unreadable > 0) ++counters_.unreadable;
  return read.unreadable == 0 && now_ - history_.since() >= sharing_.lease;
}

std::optional<Plan> Planner::plan_from(const AllRead& read, bool may_raise) {
  // A plan from a restored backup does not show who has which slot open. Its shares are used, but only fall.
  const bool ours = read.plan && read.plan->history == history_.cluster();
  const Plan* standing = ours ? &*read.plan : nullptr;
  const bool nothing_under_way =
      may_raise && departed_.knows_all(now_) && now_ - history_.since() >= sharing_.lease + departed_.wait();
  const PlannerInput input{budgets_, sharing_,  read.plan,          read.records,
                           fence_,   may_raise, !nothing_under_way, departed_.gone()};
  const auto turn = static_cast<std::uint64_t>(now_ / sharing_.plan_every);
  Plan next = next_plan(input, turn).value_or(read.plan.value_or(Plan{}));
  next.epoch = (read.plan ? read.plan->epoch : 0) + 1;
  for (const Record& record : read.records) {
    if (record.epoch < kMaxEpoch) next.epoch = std::max(next.epoch, record.epoch + 1);
  }
  next.fence = fence_;
  next.history = history_.cluster();
  for (const auto& shaper : shapers_) shaper->shape(next, standing, read.records, now_);
  std::vector<Record> with_departed = departed_.substitute_records();
  with_departed.insert(with_departed.end(), read.records.begin(), read.records.end());
  hold_slots(next, standing, with_departed, nothing_under_way && departed_.knows_all(now_));
  if (standing != nullptr && same_but_for_number(next, *standing) &&
      std::all_of(read.records.begin(), read.records.end(), [&](const Record& record) {
        return record.epoch <= standing->epoch || record.epoch >= kMaxEpoch;
      })) {
    return std::nullopt;
  }
  if (!read.plan && next.shares.empty() && next.affinity.empty()) return std::nullopt;
  return next;
}

void Planner::call_store(PlannerOut& out) {
  if (underway_.call != 0) return;
  if (resign_fence_ != 0) {
    if (now_ < read_at_) return;
    underway_ = {++calls_, now_};
    out.calls.push_back(Resign{calls_, resign_fence_});
  } else if (elected() && put_) {
    underway_ = {++calls_, now_};
    put_->call = calls_;
    out.calls.push_back(std::move(*put_));
    put_.reset();
  } else if (elected() && now_ >= read_at_) {
    underway_ = {++calls_, now_};
    read_at_ = now_ + sharing_.plan_every;
    out.calls.push_back(ReadAll{calls_});
  } else if (!elected() && lease_ != 0 && now_ < lease_until_) {
    // Spread out, so that not all processes campaign at the same time.
    if (campaign_at_ < 0) campaign_at_ = now_ + sharing_.lease * kCampaignSpread * random_.unit();
    if (now_ < campaign_at_ || now_ < no_campaign_until_) return;
    underway_ = {++calls_, now_};
    out.calls.push_back(Campaign{calls_, lease_, value_});
  }
}

}  // namespace shorelead::fleet
