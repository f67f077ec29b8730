#include "lab/load.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "lab/load_client.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kSendAtOnce = 256;  // then others get their turn
constexpr Millis kLeastFirstWait = 60;    // of a client for a process that starts
constexpr Millis kMostFirstWait = 400;

}  // namespace

Load::Load(asio::io_context& context, const Experiment& experiment, Front& front)
    : context_(context),
      experiment_(experiment),
      front_(front),
      alarm_(context),
      habits_(experiment.seed, "habits"),
      ids_(experiment.seed, "ids"),
      whose_(experiment.seed, "whose"),
      baskets_(experiment.clients.baskets, experiment.clients.skew),
      where_(experiment.seed, "where"),
      unused_(static_cast<std::size_t>(experiment.nodes.count)) {
  std::vector<std::string> names;
  for (const ClassSpec& spec : experiment.classes) names.push_back(spec.rules.name);
  plan_ = plan(experiment.load, names, experiment.seed);
  records_.reserve(plan_.size() * 2);
}

Load::~Load() = default;

void Load::run(Millis begin, std::function<void()> done) {
  begin_ = begin;
  done_ = std::move(done);
  if (plan_.empty()) return done_();
  alarm_.at(begin_ + plan_[0].at, nullptr, [this] { send_due(); });
}

void Load::send_due() {
  std::size_t sent = 0;
  while (next_ < plan_.size() && sent < kSendAtOnce) {
    const Planned& planned = plan_[next_];
    const Millis at = begin_ + planned.at;
    const Millis now = clock_now();
    if (at > now) break;
    lateness_.note(now - at);
    ++next_;
    ++sent;
    auto wish = std::make_shared<Wish>();
    const ClassRules& rules = experiment_.classes[static_cast<std::size_t>(planned.request_class)].rules;
    wish->request_class = planned.request_class;
    wish->intended = at;
    wish->give_up = at + rules.give_up;
    wish->chain = chains_++;
    choose_owner(*wish);
    if (rules.effect == Effect::kKeyed) wish->key = ids_.hex(32);
    ++open_;
    begin(wish);
  }
  if (next_ >= plan_.size()) return finish_when_quiet();
  const Millis next = begin_ + plan_[next_].at;
  // Lateness is noted request by request, from the intended time.
  alarm_.at(std::max(next, sent == kSendAtOnce ? clock_now() : next), nullptr, [this] { send_due(); });
}

void Load::choose_owner(Wish& wish) {
  if (const int baskets = experiment_.clients.baskets; baskets > 0) {
    wish.basket = "k" + std::to_string(experiment_.clients.skew > 0
                                           ? static_cast<std::uint64_t>(baskets_.draw(whose_))
                                           : whose_.whole(static_cast<std::uint64_t>(baskets)));
  }
  double all = 0;
  for (const TenantSpec& tenant : experiment_.tenants) all += tenant.share;
  double at = all > 0 ? whose_.uniform(0, all) : 0;
  for (const TenantSpec& tenant : experiment_.tenants) {
    wish.tenant = tenant.name;
    if ((at -= tenant.share) < 0) return;
  }
}

int Load::next_in(int from, int to, int& turn) {
  if (experiment_.clients.at_random)
    turn = from + static_cast<int>(where_.whole(static_cast<std::uint64_t>(to - from)));
  for (int n = from; n < to; ++n) {
    turn = turn + 1 < to ? std::max(from, turn + 1) : from;
    if (front_.taken_in[static_cast<std::size_t>(turn)]) return turn;
  }
  return -1;
}

// A process that was asked to end, on whose kept connections its clients go on.
int Load::ending_node() {
  if (!habits_.chance(experiment_.clients.until_kill)) return -1;
  const auto count = static_cast<std::size_t>(experiment_.nodes.count);
  const auto from = static_cast<std::size_t>(where_.whole(count));
  for (std::size_t n = 0; n < count; ++n) {
    const std::size_t node = (from + n) % count;
    if (front_.ending[node] && !unused_[node].empty()) return static_cast<int>(node);
  }
  return -1;
}

// A process that was started and is not ready yet: its port may be reached at any moment.
int Load::starting_node() {
  if (!habits_.chance(experiment_.clients.first_moments)) return -1;
  const auto count = static_cast<std::size_t>(experiment_.nodes.count);
  const auto from = static_cast<std::size_t>(where_.whole(count));
  for (std::size_t n = 0; n < count; ++n) {
    const std::size_t node = (from + n) % count;
    if (front_.starting[node]) return static_cast<int>(node);
  }
  return -1;
}

int Load::next_node() {
  if (experiment_.clients.until_kill > 0) {
    if (const int node = ending_node(); node >= 0) return node;
  }
  const int count = experiment_.nodes.count;
  const int hot = std::min(experiment_.clients.hot, count - 1);
  if (hot <= 0) return next_in(0, count, turn_);
  const bool there = where_.chance(experiment_.clients.hot_share);
  const int node = there ? next_in(0, hot, hot_turn_) : next_in(hot, count, turn_);
  return node >= 0 ? node : next_in(0, count, turn_);
}

void Load::begin(const std::shared_ptr<Wish>& wish) {
  Asked asked;
  asked.id = ids_.hex(16);
  asked.key = wish->key;
  asked.tenant = wish->tenant;
  asked.basket = wish->basket;
  asked.request_class = wish->request_class;
  asked.intended = wish->tries == 0 ? wish->intended : clock_now();
  asked.due = wish->give_up;
  asked.tries_before = wish->tries++;
  asked.chain = wish->chain;
  const int starting = experiment_.clients.first_moments > 0 ? starting_node() : -1;
  if (starting >= 0)
    asked.due = std::min(asked.due, clock_now() + habits_.uniform(kLeastFirstWait, kMostFirstWait));
  asked.node = starting >= 0 ? starting : next_node();
  const std::size_t record = records_.size();
  records_.push_back(std::move(asked));
  ++progress_.sent;
  const int node = records_[record].node;
  if (node < 0) {
    records_[record].node = 0;
    records_[record].ended = clock_now();
    // Not from within the caller, who counts on this one being under way.
    asio::post(context_, [this, wish, record] { ended(wish, record, -1); });
    return;
  }
  auto& unused = unused_[static_cast<std::size_t>(node)];
  std::shared_ptr<Client> client;
  records_[record].fresh = unused.empty();
  if (unused.empty()) {
    client = std::make_shared<Client>(*this, node);
  } else {
    client = unused.back();
    unused.pop_back();
  }
  client->ask(wish, record);
}

void Load::ended(const std::shared_ptr<Wish>& wish, std::size_t record, double retry_after) {
  const Asked& asked = records_[record];
  const bool served = asked.end == ClientEnd::kAnswered && asked.status == 200;
  const bool refused = asked.end == ClientEnd::kAnswered && (asked.status == 429 || asked.status == 503);
  ++(served ? progress_.served : refused ? progress_.refused : progress_.failed);
  const ClientsSpec& habits = experiment_.clients;
  const ClassRules& rules = experiment_.classes[static_cast<std::size_t>(wish->request_class)].rules;
  // What may have run is asked again only where boxes know it again, or it does not matter.
  const bool harmless = refused || asked.end == ClientEnd::kNoConnection || rules.effect != Effect::kUnsafe;
  if (!served && asked.end != ClientEnd::kLeft && harmless && wish->tries <= habits.retries) {
    const Millis wait = retry_after >= 0 && habits_.chance(habits.honour) ? retry_after : habits.backoff;
    if (clock_now() + wait < wish->give_up - 1) {
      auto alarm = std::make_shared<Alarm>(context_);
      alarm->at(clock_now() + wait, nullptr, [this, wish, alarm] { begin(wish); });
      return;
    }
  }
  --open_;
  finish_when_quiet();
}

void Load::finish_when_quiet() {
  if (next_ < plan_.size() || open_ > 0 || settling_) return;
  settling_ = true;
  // What comes behind an answer, or is sent on after it, needs some time to show.
  alarm_.at(clock_now() + experiment_.settle, nullptr, [this] {
    for (auto& clients : unused_) {
      for (const auto& client : clients) client->drop();
      clients.clear();
    }
    done_();
  });
}

void Load::collect(Run& run) {
  run.asked = std::move(records_);
  run.load_late = lateness_.worst();
  run.load_late_p99 = lateness_.quantile(0.99);
}

}  // namespace shorelead::lab
