// shorelead's decisions, all of them. The ordinary path is ALBL (Kontogiannis et al., see docs/design.md):
// probe every ready backend each period, turn the timings into shares, send along a weighted rotation that is
// reshuffled.
#include "policy/policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <stdexcept>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "base/numbers.h"
#include "base/random.h"
#include "base/token_bucket.h"
#include "estimate/own_attempts.h"
#include "estimate/request_rate.h"
#include "estimate/response_times.h"
#include "estimate/service_times.h"
#include "peers/ledger.h"

namespace shorelead {
namespace {

// --- ALBL's open parameters ---
constexpr Millis kPeriod = 1000;          // shares are renewed this often, and probes at the most
constexpr int kTicks = 10;                // moments in a period at which probes that are due go out
constexpr double kProbePoints = 0.0018;   // of the result, a request: what the probe rounds may cost
constexpr Millis kLongestRound = 30000;   // every ready backend is probed within this, whatever the price
constexpr Millis kProbeTimeout = 250;     // a probe unanswered by then drops the backend for the period
constexpr Millis kThreshold = 150;        // above ordinary probe times, so Equation 5 applies when quiet
constexpr double kDifferenceFloor = 0.5;  // of the median of (response - delay), Equation 6
constexpr double kShareCap = 1.5;         // no share above this multiple of the mean
constexpr std::size_t kNewPeriods = 3;    // probes: till then a backend gets at most the mean share
constexpr double kRounding = 1e-9;        // a credit this close to a whole turn is one
constexpr Millis kTiniestTime = 0.01;     // floor of a difference, so no share is infinite

// --- the rules ---
constexpr double kColdSafety = 0.5;       // of a cold backend's budget, for what a node cannot see
constexpr double kColdTurn = 2;           // requests of this node for which a turn to a cold backend is open
constexpr Millis kListRetryMin = 200;     // first wait before asking for the list again; doubles, with jitter
constexpr double kListCalls = 20;         // calls a second that the list service is taken to bear
constexpr Millis kListRetryMax = 10000;   // longest such wait
constexpr double kFirstWorkGuess = 0.25;  // of the shortest aim: service time before any was seen

// --- exceptions to the rotation (each is described in docs/design.md) ---
// Skip: a pick expected to need more than this part of the time left to the aim is passed over.
constexpr double kSkipShare = 0.35;
constexpr std::size_t kMostWeighed = 512;  // backends weighed for one request, however many there are
constexpr double kWorthless = 0.5;         // of it, that a request worth nothing beside the dearest may wait
// Look: who is asked out of turn, and when.
constexpr int kLooks = 3;            // backends asked at once for one request
constexpr double kLookSteps = 4;     // a service time: old news is told apart no finer
constexpr double kLookPrice = 0.02;  // most that they may cost together, a request
constexpr Millis kLookTime = 10;     // slower probes than this are not waited for
constexpr Millis kLookWait = 8;      // longest that a request is held for them
// Look first and fellows: where only probes bring reports.
constexpr int kFirstLooks = 2;         // backends probed before an attempt, in each round
constexpr int kAsks = 3;               // or whose keepers are asked
constexpr int kLookRounds = 2;         // rounds for one request
constexpr double kLookShare = 0.06;    // of the aim: longest that it is held for their answers
constexpr Millis kToldLife = 2000;     // reports are passed over for so long after a keeper answered
constexpr double kLeastTold = 0.5;     // mean requests: a shorter stay tells no speed, but of the way there
constexpr double kWarmRank = 1.3;      // each further backend in a key's order must be so much better
constexpr double kMostQueue = 3;       // times the root of its cores that may wait at a backend
constexpr double kOverdue = 4;         // times what was expected: the attempt is lost or stuck
constexpr double kComeBack = 0.2;      // of the aim: when a refused client may still be served in time
constexpr Millis kTimerSlack = 1;      // a timer may fire a rounding early
constexpr double kLookAge = 0.2;       // service times: a younger report is news enough
constexpr double kReportLife = 2;      // service times in which a load report loses most of its meaning
constexpr double kSettled = 0.5;       // service times after which a report must count an attempt
constexpr double kCrowdedShare = 0.8;  // busier than this, a backend's answers wait for each other
constexpr double kRecordSpan = 5;      // seconds: a backend's own record holds what came in them
// Health: outcomes of our own attempts, per backend and per backend and class.
constexpr double kHealthGain = 0.25;       // weight of one outcome in the share of failures
constexpr double kErrorGain = 0.5;         // and of an error, which no crowd explains
constexpr double kUsualGain = 0.05;        // weight of one in what is usual; where that is failing, a further
constexpr double kUsualDoubt = 20;         // failure says less: by one plus this times what is usual
constexpr std::size_t kMedianParts = 128;  // a median is worked out anew once one in so many had an outcome
constexpr double kSickShare = 0.8;         // failing more than this, and
constexpr double kSickMargin = 0.4;        // this much more than the fleet, a backend rests
constexpr Millis kRestMin = 1000;          // first rest; doubles while it goes on failing
constexpr Millis kRestMax = 8000;          // longest rest
// Attempts: a retry budget over all requests, and a bound for each.
constexpr double kResendsPerRequest = 0.2;  // further attempts earned by each request
constexpr double kMostResends = 10;         // and saved up at most
constexpr int kMostAttempts = 3;            // for one request
constexpr double kLosingGain = 0.02;        // weight of one attempt in the share that is lost
constexpr double kLosing = 0.05;            // of attempts lost, above which
constexpr double kEarlyEnd = 0.5;           // an attempt ends after this part of its time
constexpr double kQuotaBurst = 2;           // seconds of its quota that a tenant may send at once
constexpr double kLeastBurst = 5;           // requests that it may send at once however small its quota

struct Health {
  double failing = 0;
  double usual = 0;  // the same over more of them
  Millis resting_until = 0;
  Millis rest = 0;
};

struct Backend : BackendEntry {
  Backend() { state = BackendState::kGone; }  // till a list names it
  bool probe_out = false;
  bool look_out = false;  // asked out of turn
  Millis ask_until = 0;
  Millis asked_at = 0;   // last probe that counts for its round
  bool missed = false;   // and it was not served in time
  bool dropped = false;  // gets nothing this period
  estimate::ResponseTimes times;
  double share = 0;
  double credit = 0;
  estimate::OwnAttempts own;       // our attempts out there
  std::vector<Millis> cold_sends;  // while cold: sends that still count in its budget
  double cold_turns = 0;           // where its part is under one request: how many came by now,
  double cold_used = -1;           // the last that was used
  Millis cold_at = 0;              // and when this was worked out
  std::vector<Health> health;      // silences and errors over all classes, then of each
  estimate::Load load;             // as its reports say
  estimate::Speed speed;           // as answers say
  peers::BackendLedger ledger;     // as its keeper
  double others_held = 0;          // requests of others in its hands, as its keeper told
};

struct Attempt {
  BackendId backend = 0;
  Millis sent = 0;
  double crowd = 1;  // the backend's expected load when it was sent, in service times
  bool overdue = false;
  double warmth = 1;  // and its share of full speed
  bool out = true;
  bool may_have_run = true;  // until an outcome proves that it never ran
};

struct Request {
  int request_class = 0;
  Millis due = 0;
  Millis aim_at = 0;  // an answer after this is worth less or nothing
  int most_attempts = 1;
  double work = 1;  // of a mean request, by its hint
  std::uint64_t key = 0;
  bool client_retry = false;
  bool over_share = false;       // beyond its tenant's share
  std::vector<BackendId> asked;  // candidates whose news it waits for
  bool streaming = false;
  int looks = 0;          // asked for it so far
  Millis look_until = 0;  // it waits, or has waited, for their answers until then
  std::vector<Attempt> attempts;
};

struct Purse {
  double came = 0;           // in this period
  double rate = 0;           // in the last one, of this node
  double all = 0;            // and of all, as its keeper told
  peers::RateLedger ledger;  // as its keeper
  TokenBucket bucket;
};

// A timer for one request has its number above the kind.
enum TimerKind : std::uint64_t { kTickTimer, kListTimer, kLookTimer, kCopyTimer };

}  // namespace

class Policy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : s_(settings), random_(seed) {
    on(SettingsChanged{settings});
    times_ = estimate::ServiceTimes(std::max(1.0, kFirstWorkGuess * shortest_aim_));
    times_.set_classes(s_.classes.size());
  }

  void handle(const Event& event, Millis now, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  std::size_t avoided(Millis now) const {
    return static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(), [now](const auto& b) {
      if (b.state != BackendState::kReady) return false;  // one that never was has no health yet
      return b.dropped || now < std::max(b.health[0].resting_until, b.health[1].resting_until);
    }));
  }

 private:
  using Held = std::unordered_map<RequestId, Request>::iterator;

  // What was learnt of backends and classes stays; a class not seen before is taken for an ordinary one.
  void on(const SettingsChanged& changed) {
    s_ = changed.settings;
    times_.set_classes(s_.classes.size());
    purses_.resize(s_.tenants.size());
    shortest_aim_ = s_.classes.empty() ? 0 : s_.classes[0].aim;
    for (const RequestClass& c : s_.classes) {
      shortest_aim_ = std::min(shortest_aim_, c.aim);
      most_worth_ = std::max(most_worth_, c.worth);
    }
    for (Backend& b : backends_) b.health.resize(2 * s_.classes.size() + 2);
  }

  // ---- lists ----

  void on(const Started&) {
    if (s_.list_on_request) timer(kListTimer, now_ + random_.unit() * list_spread());
    timer(kTickTimer, now_ + random_.unit() * kPeriod);  // so nodes started together do not probe in step
  }

  void on(const ListUpdate& update) {
    if (update.kind == ListKind::kFailed) {
      // Again, ever later, not in step with other nodes, and before an old list counts as told anew.
      const Millis most = std::min(kListRetryMax, s_.ask_every > 0 ? s_.ask_every : kListRetryMax);
      const Millis least = std::min(std::max(kListRetryMin, list_spread()), most / 2);
      list_wait_ = std::clamp(list_wait_ * 2, least, most);
      asked_ = false;
      timer(kListTimer, now_ + list_wait_ * (0.5 + random_.unit()));
      return;
    }
    if (update.kind != ListKind::kStored) list_wait_ = 0;
    if (update.kind == ListKind::kStored && update.entries.empty()) ask_for_list();
    sharing_ = update.sharing;
    const bool whole = update.kind != ListKind::kDelta;
    std::vector<char> named(whole ? backends_.size() : 0, 0);
    for (const BackendEntry& entry : update.entries) {
      if (entry.backend >= backends_.size()) backends_.resize(entry.backend + 1);
      if (whole && entry.backend >= named.size()) named.resize(entry.backend + 1);
      if (whole) named[entry.backend] = 1;
      Backend& b = backends_[entry.backend];
      const bool returned = entry.state == BackendState::kReady &&
                            (b.state != BackendState::kReady || b.started != entry.started);
      static_cast<BackendEntry&>(b) = entry;
      b.size = entry.size > 0 ? entry.size : 1;
      by_tag_[entry.tag] = entry.backend;
      if (returned) welcome(b);
      if (b.state != BackendState::kReady) b.share = b.credit = 0;
    }
    for (std::size_t i = 0; i < named.size(); ++i) {
      if (!named[i]) backends_[i].state = BackendState::kGone;
    }
    if (update.kind == ListKind::kStored) set_shares();
  }

  void ask_for_list() {
    if (s_.list_on_request && !std::exchange(asked_, true)) act(SubscribeList{});
  }

  // Calls are spread over what the list service bears: one that is behind works on calls given up long ago.
  Millis list_spread() const { return stated_nodes() / kListCalls * 1000; }

  // A new or returned backend starts over: what was measured before says nothing of it.
  void welcome(Backend& b) {
    Backend fresh;
    static_cast<BackendEntry&>(fresh) = b;
    fresh.probe_out = b.probe_out, fresh.look_out = b.look_out;
    fresh.own = std::move(b.own);
    fresh.asked_at = now_ - random_.unit() * kLongestRound;
    fresh.cold_turns = random_.unit(), fresh.cold_at = now_;
    b = std::move(fresh);
    b.load.lanes = lanes_like_warm(b);
    b.health.assign(2 * s_.classes.size() + 2, {});
    b.share = mean_share_;
  }

  // ---- ALBL: probes, shares, rotation ----

  void on(const TimerFired& fired) {
    if (fired.cookie == kLookTimer) return look_again();
    if (fired.cookie == kListTimer) return ask_for_list();
    if (fired.cookie != kTickTimer) return second_copy(static_cast<RequestId>(fired.cookie >> 8));
    timer(kTickTimer, now_ + kPeriod / kTicks);
    // Also where probing is not allowed: rotation, rates and fading records live by the period.
    if (tick_++ % kTicks == 0) close_period();
    if (s_.probing) probe_due();
  }

  void on(const ProbeEnded& ended) {
    Backend& b = backends_.at(ended.backend);
    const bool counts = std::exchange(b.probe_out, false);
    b.look_out = false;
    if (ended.has_report) learn_report(b, ended.report);
    if (!looking_.empty()) look_again();
    // One that this node had no descriptor for says nothing of the backend.
    if (!counts || ended.outcome == Outcome::kNotSent) return;
    b.missed = ended.outcome != Outcome::kServed || ended.elapsed > kProbeTimeout;
    if (!b.missed) b.times.add(ended.elapsed);
  }

  void close_period() {
    set_shares();
    tell_rates();
    learn_lanes();
    forget();
    set_round();
  }

  // Exception "round": at many nodes of little traffic a round of probes a period costs more than it earns,
  // so a round takes as long as keeps its price, spread over this node's own requests, within kProbePoints.
  void set_round() {
    arrivals_.close_period();
    const double points = s_.probe_price / mean_share_ * 1000 / kPeriod / rate();
    round_ = std::clamp(points / kProbePoints * kPeriod, kPeriod, kLongestRound);
    if (s_.most_probes > 0) round_ = std::max(round_, 1000 / mean_share_ / s_.most_probes);
    if (s_.most_probes_backend > 0) round_ = std::max(round_, 1000 * sharers() / s_.most_probes_backend);
  }

  double rate() const { return arrivals_.per_period() * 1000 / kPeriod; }

  // Probes go out when a round has passed since the backend's last one, so each keeps a phase of its own.
  void probe_due() {
    // Under a ceiling, who comes too late for this tick is first in the next.
    auto left = s_.most_probes > 0 ? std::ceil(s_.most_probes * kPeriod / kTicks / 1000) : backends_.size();
    const std::size_t start = s_.most_probes > 0 ? first_probe_ : 0;
    for (std::size_t n = 0; n < backends_.size() && left > 0; ++n) {
      const BackendId i = static_cast<BackendId>((start + n) % backends_.size());
      Backend& b = backends_[i];
      if (b.state != BackendState::kReady || b.probe_out || now_ - b.asked_at < round_ - kTimerSlack)
        continue;
      left -= 1;
      first_probe_ = i + std::size_t{1};
      b.probe_out = true;
      b.asked_at = now_;
      if (!b.look_out) act(SendProbe{i});  // else that answer will do
    }
  }

  // Drops who did not answer, weighs the others by Equation 5 or 6, starts a rotation.
  void set_shares() {
    std::vector<BackendId> ready;
    std::size_t missed = 0;
    for (BackendId i = 0; i < backends_.size(); ++i) {
      Backend& b = backends_[i];
      if (b.state != BackendState::kReady) continue;
      b.dropped = s_.probing && (b.missed || (b.probe_out && now_ - b.asked_at >= kProbeTimeout));
      ready.push_back(i);
      missed += b.dropped;
    }
    if (missed * 2 > ready.size()) {
      // Over half unanswered says more of this node or its paths than of the backends: keep the last shares.
      for (const BackendId i : ready) backends_[i].dropped = false;
    } else {
      weigh(ready);
    }
    reshuffle();
  }

  void weigh(const std::vector<BackendId>& ready) {
    std::vector<BackendId> in;
    std::vector<double> differences;
    bool quiet = false;
    for (const BackendId i : ready) {
      const Backend& b = backends_[i];
      if (!b.dropped) in.push_back(i);
      if (b.dropped || !b.times.known()) continue;
      quiet = quiet || b.times.response() < kThreshold;
      differences.push_back(b.times.response() - b.times.delay());
    }
    const double floor = std::max(kTiniestTime, kDifferenceFloor * median(differences));
    double sum = 0;
    for (const BackendId i : in) {
      Backend& b = backends_[i];
      if (!b.times.known()) continue;
      const Millis response = b.times.response();
      const Millis delay = b.times.delay();
      b.share = b.size / (delay * (quiet ? response : std::max(response - delay, floor)));
      sum += b.share;
    }
    for (const BackendId i : in) {
      Backend& b = backends_[i];
      if (!b.times.known()) b.share = sum > 0 ? sum / static_cast<double>(differences.size()) : 1;
    }
    const double mean = mean_share_ = 1.0 / std::max(1.0, static_cast<double>(in.size()));
    std::vector<double> shares;
    std::vector<double> bounds;
    for (const BackendId i : in) {
      shares.push_back(backends_[i].share);
      bounds.push_back(mean * (backends_[i].times.probes() <= kNewPeriods ? 1.0 : kShareCap));
    }
    scale_to_one(shares, bounds);
    for (std::size_t n = 0; n < in.size(); ++n) backends_[in[n]].share = shares[n];
  }

  // Unsent turns go back to the credits; a new round is earned only once less than half of one is left.
  void reshuffle() {
    const bool earn = rotation_.size() * 2 < backends_.size();
    for (const BackendId i : rotation_) backends_[i].credit += 1;
    rotation_.clear();
    deal(earn);
  }

  // Adds one round to the rotation: each backend earns its share of as many turns as there are backends.
  void deal(bool earn = true) {
    const std::size_t old = rotation_.size();
    std::size_t count = 0;
    for (const Backend& b : backends_) count += usable(b) ? 1 : 0;
    for (BackendId i = 0; i < backends_.size(); ++i) {
      Backend& b = backends_[i];
      if (!usable(b)) {
        b.credit = 0;
        continue;
      }
      // Bounded both ways: neither a hoard of turns nor a long penance for turns taken early.
      if (earn) b.credit = std::clamp(b.credit + b.share * static_cast<double>(count), -1.0, 1.0 + kShareCap);
      for (; b.credit > 1 - kRounding; b.credit -= 1) rotation_.push_back(i);
    }
    for (std::size_t n = rotation_.size() - old; n > 1; --n) {
      std::swap(rotation_[old + n - 1], rotation_[old + random_.below(n)]);
    }
  }

  const RequestClass& class_of(const Request& r) const {
    return s_.classes[static_cast<std::size_t>(r.request_class)];
  }

  static bool usable(const Backend& b) { return b.state == BackendState::kReady && !b.dropped; }

  // ---- choosing a backend ----

  // Goes along the rotation, with another round where it ends, till a turn is taken.
  enum class Turn { kTaken, kKept, kLost };
  template <typename Visit>
  void walk(Visit visit) {
    weighed_ = 0;
    for (int round = 0; round < 2 && weighed_ < kMostWeighed; ++round) {
      std::size_t kept = 0;
      bool taken = false;
      std::size_t n = 0;
      for (; n < rotation_.size() && weighed_ < kMostWeighed && !taken; ++n) {
        const BackendId i = rotation_[n];
        if (!usable(backends_[i])) continue;
        ++weighed_;
        const Turn turn = visit(i);
        if (turn == Turn::kKept) rotation_[kept++] = i;
        taken = turn == Turn::kTaken;
      }
      take_turns(kept, n);
      if (taken) return;
      if (weighed_ < kMostWeighed && kept < backends_.size()) deal();
    }
  }

  // The next in the rotation that may have it and can answer in time (exception "skip": it loses its turn).
  std::optional<BackendId> propose(const Request& r) {
    const Millis patience = kSkipShare * (r.aim_at - now_);
    std::optional<BackendId> pick;
    walk([&](BackendId i) {
      const bool may = allowed(r, i);
      if (may && expected_answer(r, backends_[i]) <= patience) return pick = i, Turn::kTaken;
      // It keeps its turn for another request, as does one that a look may clear.
      return !may || may_look(backends_[i]) ? Turn::kKept : Turn::kLost;
    });
    return pick;
  }

  // The turns from `kept` up to `n` are taken. Costs by `kept`, as a deque gives way at its nearer end.
  void take_turns(std::size_t kept, std::size_t n) {
    const auto at = [this](std::size_t i) { return rotation_.begin() + static_cast<std::ptrdiff_t>(i); };
    rotation_.erase(at(kept), at(n));
  }

  // Without a pick from the rotation: who is expected to answer first. Exception "admission": nobody, if even
  // that would be too late, since trying would only slow the others. Dropped backends are a last resort.
  std::optional<BackendId> soonest(const Request& r) {
    std::optional<BackendId> best;
    Millis least = 0;
    const std::size_t start = backends_.empty() ? 0 : random_.below(backends_.size());
    std::size_t weighed = 0;
    for (std::size_t n = 0; n < backends_.size() && weighed < kMostWeighed; ++n) {
      const BackendId i = static_cast<BackendId>((start + n) % backends_.size());
      const Backend& b = backends_[i];
      if (b.state != BackendState::kReady || !allowed(r, i)) continue;
      weighed += 1;
      const Millis expected = expected_answer(r, b);
      const bool better = !best || (usable(b) != usable(backends_[*best]) ? usable(b) : expected < least);
      if (better) best = i, least = expected;
    }
    if (!best || least > admitted(r)) return std::nullopt;
    backends_[*best].credit -= 1;  // a turn taken early
    return best;
  }

  // ---- looking first ----

  // Exception "look first": where only probes bring reports, all is old news; some are looked at before each
  // attempt, by probes where those are cheap, else by asking the fellow that keeps what all tell.
  bool looks_first() const {
    return !s_.reports_with_answers && (asks() || (s_.probing && !too_dear(kFirstLooks)));
  }

  bool asks() const {
    return !s_.reports_with_answers && s_.peer_messages && s_.instances > 1 && too_dear(kLooks);
  }

  bool too_dear(int looks) const { return s_.probe_price * looks > kLookPrice; }

  // Asks for news of some not looked at yet, and holds the request for it; false: no use, or no time.
  // Exception "look", with reports in answers: only if nobody in the rotation passes for want of fresh news.
  bool look(Held it) {
    Request& r = it->second;
    const Millis wait = looks_first() ? kLookShare * class_of(r).aim : kLookWait;
    if (now_ + wait >= r.due) return false;  // the news might come after the client's time
    const std::size_t old = r.asked.size();
    if (looks_first()) {
      if (r.looks >= kLookRounds) return false;
      const std::size_t most = old + static_cast<std::size_t>(asks() ? kAsks : kFirstLooks);
      r.key != 0 && s_.warm_keys ? prefer(r, most) : next_turns(r, most);
    } else {
      const bool late = r.looks > 0 && now_ > r.look_until - kTimerSlack;
      if (late || too_dear((r.looks + 1) * kLooks) || !r.attempts.empty() || !s_.probing) return false;
      next_turns(r, old + kLooks);
    }
    if (r.asked.size() == old) return false;
    bool open = false;
    for (std::size_t n = old; n < r.asked.size(); ++n) open |= ask(r.asked[n]);
    if (looks_first() || r.looks == 0) r.look_until = now_ + (open ? wait : 0);
    if (r.look_until == now_ + wait) timer(kLookTimer, r.look_until);
    r.looks += 1;
    open ? looking_.push_back(it->first) : proceed(it);
    return true;
  }

  // Asks for news of a backend, its keeper or itself; true if an answer is to come.
  bool ask(BackendId i) {
    Backend& b = backends_[i];
    if (asks()) {
      if (now_ < b.ask_until) return true;
      b.ask_until = now_ + kLookShare * shortest_aim_;
      say(keeper(b.tag), {.kind = PeerMessage::Kind::kAsk, .about = b.tag});
      return b.ask_until > 0;
    }
    if (std::exchange(b.look_out, true)) return true;
    if (!b.probe_out) act(SendProbe{i});  // else that answer will do
    // A look at a backend that was not probed for a period is its probe as well.
    if (now_ - b.asked_at >= kPeriod) b.probe_out = true, b.asked_at = now_;
    return true;
  }

  // The next in the rotation; they lose their turns, as those a look may clear, with answers, do not.
  void next_turns(Request& r, std::size_t most) {
    if (!looks_first()) {
      std::vector<std::pair<double, BackendId>> stale;
      for (std::size_t n = 0; n < std::min(rotation_.size(), kMostWeighed); ++n) {
        const Backend& b = backends_[rotation_[n]];
        const std::pair<double, BackendId> one{std::round(crowd(b) * kLookSteps), rotation_[n]};
        const bool twice = std::find(stale.begin(), stale.end(), one) != stale.end();
        if (!twice && may_look(b) && allowed(r, one.second)) stale.push_back(one);
      }
      std::stable_sort(stale.begin(), stale.end(), [](auto x, auto y) { return x.first < y.first; });
      for (std::size_t n = 0; n < stale.size() && r.asked.size() < most; ++n)
        r.asked.push_back(stale[n].second);
      return;
    }
    walk([&](BackendId i) {
      if (was_asked(r, i) || !allowed(r, i)) return Turn::kKept;
      r.asked.push_back(i);
      return r.asked.size() < most ? Turn::kLost : Turn::kTaken;
    });
  }

  static bool was_asked(const Request& r, BackendId i) {
    return std::find(r.asked.begin(), r.asked.end(), i) != r.asked.end();
  }

  // Exception "keys": those that most likely have met the key. Each node draws the same order for it, in
  // which a backend stands first as often as its share says (weighted rendezvous hashing).
  void prefer(Request& r, std::size_t most) {
    std::vector<std::pair<double, BackendId>> order;
    for (BackendId i = 0; i < backends_.size(); ++i) {
      const Backend& b = backends_[i];
      if (!usable(b) || b.share <= 0 || was_asked(r, i) || !allowed(r, i)) continue;
      Random draw(r.key ^ (b.tag * 0x9e3779b97f4a7c15ULL));
      order.emplace_back(-std::log(1 - draw.unit()) / b.share, i);
    }
    const std::size_t n = std::min(most - r.asked.size(), order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t k = 0; k < n; ++k) r.asked.push_back(order[k].second);
  }

  bool may_look(const Backend& b) const {
    return usable(b) && load_.told() && now_ >= b.load.doubted_until &&
           (!b.times.known() || b.times.response() <= kLookTime) &&
           (b.load.others < 0 || now_ - b.load.reported_at >= kLookAge * times_.mean());
  }

  void look_again() {
    std::vector<RequestId> waiting;
    waiting.swap(looking_);
    for (const RequestId id : waiting) {
      const Held it = requests_.find(id);
      if (it == requests_.end()) continue;
      const Request& r = it->second;
      const bool open = std::any_of(r.asked.begin(), r.asked.end(), [this](BackendId i) {
        return backends_[i].look_out || now_ < backends_[i].ask_until - kTimerSlack;
      });
      if (!open || now_ > r.look_until - kTimerSlack || !may_send(r)) {
        proceed(it);
      } else if (const auto i = looks_first() ? std::nullopt : propose(r)) {
        send(it, *i);
      } else {
        looking_.push_back(id);
      }
    }
  }

  // Who of those looked at is best, if there is one that may have the request.
  std::optional<BackendId> best_asked(const Request& r) {
    std::optional<BackendId> best;
    std::tuple<bool, bool, Millis> least;
    double rank = 1;
    for (const BackendId i : r.asked) {
      const Backend& b = backends_[i];
      if (!usable(b) || !allowed(r, i)) continue;
      const bool silent = now_ - b.load.reported_at > 2 * kLookShare * class_of(r).aim;
      const std::tuple<bool, bool, Millis> one{silent, full(r, b), expected_answer(r, b) * rank};
      if (s_.warm_keys && r.key != 0) rank *= kWarmRank;
      if (!best || one < least) best = i, least = one;
    }
    return best;
  }

  // Exception "full": a backend with far more waiting than cores was seen to turn slow for long, so it gets
  // no more; what is worth little is turned away sooner, the more so the fuller the fleet.
  bool full(const Request& r, const Backend& b) const {
    const double requests = asks() ? b.others_held + b.own.held() : in_hand(b);
    const double most = kMostQueue * std::sqrt(b.load.lanes);
    return requests > b.load.lanes + most * (1 - (1 - value(r)) * std::min(1.0, load_.mean_others() / most));
  }

  // Its worth beside the dearest class within its tenant's share, in time.
  double value(const Request& r) const {
    const RequestClass& c = class_of(r);
    const double late = r.client_retry ? c.late_value : 1;  // its time for the aim ran with the first try
    return c.worth / most_worth_ * late * (r.over_share ? s_.over_share_worth : 1);
  }

  // Exception "admission": an answer must be expected in this time, less for what is worth less.
  Millis admitted(const Request& r) const {
    return (kWorthless + (1 - kWorthless) * value(r)) * (r.aim_at - now_);
  }

  // ---- fellows ----

  // One of the nodes keeps what all of them tell of a backend, or of a tenant: each works out the same.
  int keeper(std::uint32_t about) const {
    return static_cast<int>(Random(about).next() % static_cast<std::uint64_t>(s_.instances));
  }

  void say(int peer, const PeerMessage& m) {
    if (peer == s_.instance) return on(PeerTold{peer, m});
    act(TellPeer{peer, m});
  }

  // Tells the keeper what this node has out there, and how an attempt ended.
  void tell(Backend& b, PeerMessage::Ending ending, double ratio = 0) {
    if (asks())
      say(keeper(b.tag), {PeerMessage::Kind::kTell, b.tag, b.own.work(), b.own.held(), ratio, ending});
  }

  void on(const PeerTold& e) {
    const PeerMessage& m = e.message;
    if (!asks() || e.peer < 0 || e.peer >= s_.instances) return;
    const bool rates = m.kind == PeerMessage::Kind::kRate || m.kind == PeerMessage::Kind::kTotal;
    const auto found = by_tag_.find(m.about);
    if (rates ? m.about >= purses_.size() : found == by_tag_.end()) return;
    if (!rates && backends_[found->second].tag != m.about) return;  // that number is another's by now
    PeerMessage answer{.about = m.about};
    switch (m.kind) {
      case PeerMessage::Kind::kRate:
        purses_[m.about].ledger.tell(e.peer, m.rate, now_);
        answer.kind = PeerMessage::Kind::kTotal;
        answer.rate = purses_[m.about].ledger.total();
        return say(e.peer, answer);
      case PeerMessage::Kind::kTotal:
        return void(purses_[m.about].all = m.rate);
      case PeerMessage::Kind::kTell:
        return backends_[found->second].ledger.tell(e.peer, m, now_);
      case PeerMessage::Kind::kAsk:
        answer = backends_[found->second].ledger.known(e.peer, kLookShare * shortest_aim_, now_);
        answer.about = m.about;
        return say(e.peer, answer);
      case PeerMessage::Kind::kAnswer:
        return learn_told(backends_[found->second], m);
    }
  }

  void learn_told(Backend& b, const PeerMessage& m) {
    told_at_ = now_;
    b.ask_until = 0;
    load_.tell(b.load, m.work, now_);
    b.others_held = m.held;
    if (m.ratio > 0) b.speed.ratio = m.ratio, b.speed.heard = true;
    if (!looking_.empty()) look_again();
  }

  // ---- what is known of a backend ----

  // Requests in its hands: this node's own, and those of others, of which old news fades to the fleet's mean;
  // for a cold one to none, as its budget sees to that, or it would get nothing until it is warm.
  double in_hand(const Backend& b) const {
    if (!load_.told()) return b.own.work() * std::max(1.0, sharers());
    const bool remembered = too_dear(kLooks) && !asks();  // then each is heard of once in seconds
    return b.own.work() + load_.others(b.load, kReportLife * times_.mean(), cold(b), remembered, now_);
  }

  double crowd(const Backend& b, double work = 1) const {
    return std::max(work, (in_hand(b) + work) / b.load.lanes);
  }

  Millis expected_answer(const Request& r, const Backend& b) const {
    return times_.expected(r.request_class, b.speed) * crowd(b, r.work) / warmth(b);
  }

  // Exception "doubt": a report that leaves out requests which this node has had there for long is wrong.
  void learn_report(Backend& b, const LoadReport& report) {
    if (asks() && now_ - told_at_ < kToldLife) return;  // keepers' word is newer
    const Millis before = now_ - kSettled * times_.mean();
    load_.report(b.load, report, b.own.work(), asks() ? 0 : b.own.settled(before), now_);
  }

  void learn_service(const Request& r, const Attempt& a, Millis elapsed, bool served) {
    Backend& b = backends_[a.backend];
    const bool lost = !served && b.own.overtaken(a.sent);
    losing_ += kLosingGain * ((lost ? 1 : 0) - losing_);
    if (lost) return;
    const bool crowded = a.crowd > r.work || b.load.busy > kCrowdedShare;
    const Millis alone = elapsed / a.crowd * a.warmth;
    times_.learn(b.speed, {r.request_class, alone, served, a.warmth >= 1, crowded, asks()});
  }

  void forget() {
    std::vector<estimate::Speed*> speeds;
    for (Backend& b : backends_) {
      if (usable(b)) speeds.push_back(&b.speed);
    }
    times_.fade(rate() * mean_share_ * kRecordSpan, speeds, asks());
  }

  bool allowed(const Request& r, BackendId i) {
    for (const Attempt& a : r.attempts) {
      if (a.backend == i) return false;
    }
    return !resting(backends_[i], r.request_class) && in_group(r, i) && cold_room(backends_[i]);
  }

  // Rule "no effect twice": after a keyed attempt that may have run only its group will do, within the
  // window.
  bool in_group(const Request& r, BackendId i) const {
    const RequestClass& c = class_of(r);
    if (c.effect != Effect::kKeyed) return true;
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      if (now_ - a.sent >= c.dedup_window) return false;
      const Backend& there = backends_[a.backend];
      const Backend& here = backends_[i];
      if (c.group == DedupGroup::kZone && here.zone != there.zone) return false;
      if (c.group == DedupGroup::kCell && (here.cell != there.cell || here.zone != there.zone)) return false;
    }
    return true;
  }

  // ---- health ----

  // Silences (even) and errors (odd), as a crowd explains only the first; over all classes, then of each.
  bool resting(const Backend& b, int request_class) const {
    const auto c = 2 * static_cast<std::size_t>(request_class) + 2;
    const auto rests = [&](std::size_t n) { return now_ < b.health[n].resting_until; };
    return rests(0) || rests(1) || rests(c) || rests(c + 1);
  }

  // Exception "health": a backend may fail, hang or fail one class while its probes pass. One that fails much
  // more than the others rests, ever longer; after a rest one more failure suffices for the next.
  void learn_health(Backend& b, int request_class, Outcome outcome) {
    const bool silent = outcome == Outcome::kNoAnswer;
    const bool unreachable = outcome == Outcome::kNoConnection;
    const bool error = unreachable || outcome == Outcome::kError || outcome == Outcome::kConnectionLost;
    if (!silent && !error && outcome != Outcome::kServed) return;
    ++outcomes_;
    for (const std::size_t n : {std::size_t{0}, 2 * static_cast<std::size_t>(request_class) + 2}) {
      judge(b, n, silent, kHealthGain);
      judge(b, n + 1, error, unreachable && n == 0 ? 1 : kErrorGain);
    }
  }

  void judge(Backend& b, std::size_t n, bool bad, double gain) {
    Health& h = b.health[n];
    h.usual += kUsualGain * ((bad ? 1.0 : 0.0) - h.usual);
    // Where connections break everywhere, some failures in a row are chance.
    if (bad) gain /= 1 + kUsualDoubt * of_median(n, &Health::usual);
    h.failing += gain * ((bad ? 1.0 : 0.0) - h.failing);
    if (!bad && h.failing < 1 - kSickShare) h.rest = 0;
    if (!bad || h.failing <= kSickShare || now_ < h.resting_until) return;
    // Compared with the median backend, so most never rest at once.
    if (h.failing <= of_median(n, &Health::failing) + kSickMargin) return;
    h.rest = std::clamp(h.rest * 2, kRestMin, kRestMax);
    h.resting_until = now_ + h.rest;
    h.failing = kSickShare;
  }

  // Over all ready backends; worked out anew once one in kMedianParts of them had an outcome.
  double of_median(std::size_t n, double Health::*figure) {
    const std::size_t which = n * 2 + (figure == &Health::usual);
    if (which >= medians_.size()) medians_.resize(which + 1);
    auto& [kept, due] = medians_[which];
    if (outcomes_ < due) return kept;
    std::vector<double> all;
    for (const Backend& b : backends_) {
      if (b.state == BackendState::kReady) all.push_back(b.health[n].*figure);
    }
    due = outcomes_ + all.size() / kMedianParts;
    return kept = median(std::move(all));
  }

  // ---- cold backends ----

  bool cold(const Backend& b) const { return b.started > 0 && now_ - b.started < s_.warm_up; }

  // The least share of its capacity that a backend has by now: it warms no slower than evenly.
  double warmth(const Backend& b) const {
    if (!cold(b) || s_.warm_up <= 0) return 1;
    return s_.cold_share + (1 - s_.cold_share) * std::clamp((now_ - b.started) / s_.warm_up, 0.0, 1.0);
  }

  // Rule "a cold backend is not pushed over": no more than this node's part in any fall span. A part under
  // one request comes in turns, open for some two requests and then lost: kept, all would come at once.
  bool cold_room(Backend& b) {
    if (!cold(b)) return true;
    const double capacity = std::max(1.0, b.size * pace_per_size_) * s_.fall_span / times_.mean();
    const double budget = kColdSafety * s_.fall_multiple * warmth(b) * capacity / sharers();
    std::erase_if(b.cold_sends, [this](Millis t) { return now_ - t >= s_.fall_span; });
    b.cold_turns += budget * (now_ - std::exchange(b.cold_at, now_)) / s_.fall_span;
    if (budget >= 1) return budget - static_cast<double>(b.cold_sends.size()) >= 1;
    const double turn = std::floor(b.cold_turns);
    return turn > b.cold_used && b.cold_turns - turn < kColdTurn * budget / (rate() * s_.fall_span / 1000);
  }

  double lanes_like_warm(const Backend& b) const { return std::max(1.0, b.size * lanes_per_size_); }

  void learn_lanes() {
    double lanes = 0;
    double pace = 0;
    double size = 0;
    for (Backend& b : backends_) {
      if (!b.load.lanes_known) b.load.lanes = lanes_like_warm(b);
      if (!usable(b) || cold(b) || !b.load.lanes_known) continue;
      lanes += b.load.lanes;
      // A backend that is slow for being crowded only seems to work on more at once.
      pace += b.load.lanes / std::max(1.0, b.speed.ratio);
      size += b.size;
    }
    if (size > 0) lanes_per_size_ = lanes / size, pace_per_size_ = pace / size;
  }

  // ---- tenants ----

  // Exception "shares": a keeper hears all rates of a tenant, and its quota is parted as the traffic is.
  bool within_share(int tenant) {
    if (tenant < 0 || static_cast<std::size_t>(tenant) >= purses_.size()) return true;
    Purse& p = purses_[static_cast<std::size_t>(tenant)];
    p.came += 1;
    const double quota = s_.tenants[static_cast<std::size_t>(tenant)].quota_rps;
    if (quota <= 0 || p.all <= quota || p.rate <= 0) return true;
    const double rate = quota * p.rate / p.all;
    return p.bucket.take(rate, std::max(kLeastBurst, rate * kQuotaBurst), now_);
  }

  void tell_rates() {
    for (std::uint32_t n = 0; asks() && n < purses_.size(); ++n) {
      purses_[n].rate = std::exchange(purses_[n].came, 0) * 1000 / kPeriod;
      say(keeper(n), {.kind = PeerMessage::Kind::kRate, .about = n, .rate = purses_[n].rate});
    }
  }

  double stated_nodes() const { return std::max(1, s_.instances); }

  // How many of them each of these backends has before it.
  double sharers() const { return sharing_ > 0 ? sharing_ : stated_nodes(); }

  // ---- requests ----

  void on(const RequestArrived& e) {
    if (e.request_class < 0 || static_cast<std::size_t>(e.request_class) >= s_.classes.size()) {
      throw std::out_of_range("request of an unknown class");
    }
    Request r;
    r.request_class = e.request_class;
    r.due = e.due;
    r.most_attempts = std::min(s_.max_attempts, kMostAttempts);
    r.aim_at = now_ + s_.classes[static_cast<std::size_t>(e.request_class)].aim;
    r.key = e.key;
    if (e.expected_work > 0) r.work = times_.hinted(e.expected_work);
    arrivals_.add();
    resends_ = std::min(kMostResends, resends_ + kResendsPerRequest);
    r.client_retry = e.client_retry;
    r.over_share = asks() && !e.client_retry && !within_share(e.tenant);
    const auto it = requests_.insert_or_assign(e.request, std::move(r)).first;
    proceed(it);
  }

  // Sends the request's next attempt, or gives its final answer at once.
  void proceed(Held it) {
    Request& r = it->second;
    if (any_out(r) && !(s_.parallel_attempts && r.attempts.back().overdue)) return;
    if (may_send(r)) {
      std::optional<BackendId> i = looks_first() ? best_asked(r) : propose(r);
      const bool good = i && (!looks_first() || suits(r, *i, kSkipShare * (r.aim_at - now_)));
      if (!good && look(it)) return;
      if (i && looks_first() && !suits(r, *i, admitted(r))) i.reset();
      if (!i && (r.asked.empty() || !looks_first())) i = soonest(r);
      if (i) return send(it, *i);
    }
    if (!any_out(r)) finish(it);
  }

  bool suits(const Request& r, BackendId i, Millis within) const {
    return !full(r, backends_[i]) && expected_answer(r, backends_[i]) <= within;
  }

  // Exception "second copy": an attempt is out for far longer than was expected.
  void second_copy(RequestId id) {
    const Held it = requests_.find(id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    Attempt& a = r.attempts.back();
    if (!a.out || r.streaming || now_ >= r.aim_at) return;
    if (!std::exchange(a.overdue, true)) {
      Backend& b = backends_[a.backend];
      b.own.overdue(a.sent, !asks());
      tell(b, PeerMessage::Ending::kLost);
    }
    copy_timer(id, times_.mean());  // if it does not come to it now
    if (!may_send(r) || now_ < r.look_until - kTimerSlack) return;
    r.looks = 0, r.asked.clear();
    proceed(it);
  }

  bool may_send(const Request& r) const {
    if (static_cast<int>(r.attempts.size()) >= r.most_attempts) return false;
    const RequestClass& c = class_of(r);
    if (now_ >= stop_at(r)) return false;
    if (!r.attempts.empty() && resends_ < 1) return false;
    return c.effect != Effect::kUnsafe || !may_have_run(r);
  }

  // Work on an answer that has lost all its worth only delays the others, so attempts end at the aim then.
  Millis stop_at(const Request& r) const {
    const RequestClass& c = class_of(r);
    return c.late_value > 0 || c.streamed ? r.due : std::min(r.due, r.aim_at);
  }

  static bool may_have_run(const Request& r) {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }

  static bool any_out(const Request& r) {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.out; });
  }

  void send(Held it, BackendId i) {
    Request& r = it->second;
    Backend& b = backends_[i];
    const Millis expected = expected_answer(r, b);
    if (cold(b)) b.cold_sends.push_back(now_), b.cold_used = std::floor(b.cold_turns);
    r.asked.clear(), r.looks = 0;
    r.attempts.push_back({i, now_, crowd(b, r.work), false, warmth(b), true, true});
    if (r.attempts.size() > 1) resends_ -= 1;
    // Exception "early end": answers get lost, this one is expected before, and somebody else may have it.
    const Millis early = kEarlyEnd * (stop_at(r) - now_);
    const bool ends = losing_ > kLosing && expected < early && may_send(r) &&
                      std::any_of(backends_.begin(), backends_.end(), [&](const Backend& o) {
                        return usable(o) && allowed(r, static_cast<BackendId>(&o - backends_.data()));
                      });
    act(SendAttempt{it->first, i, ends ? now_ + early : stop_at(r)});
    if (looks_first() && s_.parallel_attempts && class_of(r).effect != Effect::kUnsafe) {
      copy_timer(it->first, kOverdue * std::max(expected, times_.mean()));
    }
    b.own.add(now_, r.work, !asks());
    tell(b, PeerMessage::Ending::kSent);
  }

  // The final answer of a request that will not be served: a refusal where that is harmless, else a failure.
  void finish(Held it) {
    const Request& r = it->second;
    const RequestClass& c = class_of(r);
    const bool harmless = c.effect == Effect::kSafe || !may_have_run(r) ||
                          (c.effect == Effect::kKeyed && c.group == DedupGroup::kAll);
    // Exception "come back": soon enough for the aim; where kept promises count, a late answer costs more.
    const bool soon = looks_first() && s_.kept_promises <= 0 && !r.over_share;
    const Millis wait = soon ? std::min(s_.max_wait_advice, kComeBack * c.aim) : s_.max_wait_advice;
    if (harmless) {
      act(Refuse{it->first, s_.advise_wait ? wait : 0});
    } else {
      act(Fail{it->first});
    }
    drop(it);
  }

  // Forgets a request that is over; copies still out are called off.
  void drop(Held it) {
    const Request& r = it->second;
    for (std::size_t n = 0; n < r.attempts.size(); ++n) {
      const bool call_off = r.attempts[n].out && !r.streaming && s_.cancelling;
      if (call_off) act(CancelAttempt{it->first, static_cast<int>(n)});
    }
    requests_.erase(it);
  }

  void on(const AttemptEnded& e) {
    Backend& b = backends_.at(e.backend);
    b.own.end(now_ - e.elapsed, e.outcome == Outcome::kServed, !asks());
    const Held it = requests_.find(e.request);
    tell_end(b, e, it);
    const bool at_once = e.outcome == Outcome::kNoConnection && e.elapsed < s_.connect_timeout / 2;
    if (at_once && s_.streams_per_connection == 1) full_table();
    if (now_ < tables_full_until_ && b.own.none()) act(CloseIdle{e.backend});
    if (e.has_report) learn_report(b, e.report);
    if (it == requests_.end()) return;
    const bool served = e.outcome == Outcome::kServed;
    const bool turned_away = e.outcome == Outcome::kTurnedAway;
    Request& r = it->second;
    Attempt& a = r.attempts.at(static_cast<std::size_t>(e.attempt));
    a.out = false;
    // Exception "drains untold": turned away though that very answer shows a free core and nobody waiting. It
    // drains, and the list is late to say so; it would draw attempt after attempt while others are idle.
    const bool idle = e.report.busy >= 0 && e.report.busy < 1 && e.report.waiting == 0;
    if (turned_away && e.has_report && idle && s_.probing && now_ >= b.load.doubted_until) {
      b.missed = b.dropped = true;
    }
    learn_health(b, r.request_class, e.outcome);
    if (served || e.outcome == Outcome::kNoAnswer) learn_service(r, a, e.elapsed, served);
    a.may_have_run = !(turned_away || e.outcome == Outcome::kNoConnection || e.outcome == Outcome::kNotSent);
    if (e.request_over) return drop(it);
    if (!any_out(r)) proceed(it);
  }

  void tell_end(Backend& b, const AttemptEnded& e, Held it) {
    if (it == requests_.end() || e.outcome != Outcome::kServed) return tell(b, PeerMessage::Ending::kSent);
    const Attempt& a = it->second.attempts.at(static_cast<std::size_t>(e.attempt));
    const Millis usual = times_.usual(it->second.request_class);
    const double ratio = a.crowd < kLeastTold ? 0 : e.elapsed / a.crowd * a.warmth / usual;
    tell(b, PeerMessage::Ending::kAnswered, ratio);
  }

  // Exception "tables full": turned down at once, as idle connections of all nodes fill a backend's table.
  void full_table() {
    if (now_ >= tables_full_until_) {
      for (BackendId i = 0; i < backends_.size(); ++i) {
        if (backends_[i].state == BackendState::kReady) act(CloseIdle{i});
      }
    }
    tables_full_until_ = now_ + std::max(kPeriod, s_.idle_timeout);
  }

  void on(const StreamStarted& e) {
    const Held it = requests_.find(e.request);
    if (it != requests_.end()) it->second.streaming = true;
  }

  void on(const RequestGone& e) {
    const Held it = requests_.find(e.request);
    if (it != requests_.end()) drop(it);
  }

  void act(Action action) { out_->push_back(std::move(action)); }
  void timer(TimerKind kind, Millis at) { act(SetTimer{at, kind}); }
  void copy_timer(RequestId id, Millis in) { act(SetTimer{now_ + in, kCopyTimer | std::uint64_t{id} << 8}); }

  Settings s_;
  Random random_;
  Millis now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::vector<Backend> backends_;
  double sharing_ = 0;           // nodes before each of them, where lists tell
  std::size_t first_probe_ = 0;  // where the next tick begins under a ceiling
  std::deque<BackendId> rotation_;
  std::size_t weighed_ = 0;                                // by the last propose()
  std::vector<std::pair<double, std::uint64_t>> medians_;  // each good until so many outcomes came
  std::uint64_t outcomes_ = 0;                             // judged so far, to say how old a median is
  std::unordered_map<RequestId, Request> requests_;        // looked up, never walked
  estimate::ServiceTimes times_{1};
  estimate::FleetLoad load_;
  estimate::RequestRate arrivals_;
  Millis shortest_aim_ = 0;
  Millis told_at_ = 0;  // a keeper answered last
  Millis tables_full_until_ = 0;
  std::unordered_map<std::uint32_t, BackendId> by_tag_;
  double pace_per_size_ = 0;        // requests that they finish in a mean service time, likewise
  double lanes_per_size_ = 0;       // of warm backends; 0 until one has told
  double most_worth_ = 1e-9;        // of any class
  std::vector<Purse> purses_;       // of each tenant
  double losing_ = 0;               // share of attempts lost, of late
  std::vector<RequestId> looking_;  // held for fresh news, in order
  double resends_ = kMostResends;   // left in the retry budget
  Millis list_wait_ = 0;
  bool asked_ = false;  // a subscription stands, or is under way
  int tick_ = 0;
  Millis round_ = kPeriod;  // time from one probe of a backend to the next
  double mean_share_ = 1;   // of the backends in the rotation
};

Policy::Policy(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::handle(const Event& event, Millis now, std::vector<Action>& actions) {
  impl_->handle(event, now, actions);
}

std::size_t Policy::avoided(Millis now) const { return impl_->avoided(now); }

}  // namespace shorelead
