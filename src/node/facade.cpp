#include "node/facade.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

#include "node/outcome.h"

namespace shorelead::node {
namespace {

// A request that got no answer in its time is given up by the host, this long after, so that the time-out of
// its last attempt, which falls on the same moment, is told to the module first.
constexpr Millis kAfterDue = 1;

// Of a request whose body is still coming.
constexpr Millis kNotDue = 1e15;

// Changes of the fleet are gathered for so long before a subset is drawn anew, since a drawing costs by the
// fleet. A member that drains is told to the module at once; who takes its place comes well before its grace
// ends.
constexpr Millis kDrawEvery = 100;
// Attempts and probes in a row without a word, after which a member counts as no capacity.
constexpr int kSilences = 3;

}  // namespace

Facade::Facade(const Settings& settings, const HostSettings& host, std::uint64_t seed,
               const FleetOptions& fleet)
    : settings_(settings),
      class_names_(host.classes),
      zones_(host.zones),
      policy_(settings, seed),
      place_(fleet.place) {
  if (fleet.subset) subset_.emplace(*fleet.subset, fleet.place);
}

void Facade::start(const List& known, Millis now) {
  feed(Started{}, now);
  report_list(known, ListSource::kStored, now);
}

std::vector<int> Facade::adopt(const Settings& settings, const HostSettings& host, Millis now) {
  Settings next = settings;
  next.classes = settings_.classes;
  std::vector<int> numbers;
  for (std::size_t n = 0; n < settings.classes.size(); ++n) {
    std::size_t at = 0;
    while (at < next.classes.size() &&
           (class_names_[at] != host.classes[n] || !(next.classes[at] == settings.classes[n])))
      ++at;
    if (at == next.classes.size()) {
      next.classes.push_back(settings.classes[n]);
      class_names_.push_back(host.classes[n]);
    }
    numbers.push_back(static_cast<int>(at));
  }
  settings_ = next;
  feed(SettingsChanged{next}, now);
  return numbers;
}

Choice Facade::pick(RequestId request, const Ask& ask, Millis now) {
  const Millis due = ask.body_comes ? kNotDue : ask.due;
  requests_[request].due = due;
  requests_[request].most_attempts = settings_.max_attempts;
  deadlines_.emplace(due + kAfterDue, request);
  RequestArrived event;
  event.request = request;
  event.request_class = ask.request_class;
  event.tenant = ask.tenant;
  event.due = ask.due;
  event.expected_work = ask.expected_work;
  event.client_retry = ask.client_retry, event.worth = ask.worth;
  feed(event, now);
  return take(request, Choice::Kind::kHold);
}

Choice Facade::report(RequestId request, int attempt, Ending ending, Millis elapsed, const LoadReport* load,
                      Millis now) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return {Choice::Kind::kOver, request};
  Open& open = it->second;
  AttemptEnded event;
  event.request = request;
  event.backend = open.attempts.at(static_cast<std::size_t>(attempt));
  event.attempt = attempt;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
  const bool pass = event.outcome == Outcome::kServed && !open.over;
  open.over = open.over || pass;
  event.request_over = open.over;
  open.out -= 1;
  heard(event.backend, event.outcome);
  room_.ended(event.outcome == Outcome::kTurnedAway);
  if (load != nullptr) room_.reported(load->busy);
  if (open.over && open.out == 0) erase(it);
  feed(event, now);
  return pass ? Choice{Choice::Kind::kPass, request} : take(request, Choice::Kind::kHold);
}

void Facade::report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load,
                          Millis now) {
  backends_.at(backend).uses -= 1;
  ProbeEnded event;
  event.backend = backend;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
  heard(backend, event.outcome);
  feed(event, now);
}

std::vector<BackendId> Facade::report_list(const List& list, ListSource source, Millis now) {
  const ListKind kind = source == ListSource::kStored ? ListKind::kStored
                        : list.whole                  ? ListKind::kFull
                                                      : ListKind::kDelta;
  give_back_numbers();
  std::vector<const ListedBackend*> entries;
  if (!subset_) {
    entries.reserve(list.backends.size());
    for (const ListedBackend& listed : list.backends) entries.push_back(&listed);
    return take(entries, kind, now);
  }
  std::vector<ListedBackend> missing;
  if (kind != ListKind::kDelta) {
    std::unordered_set<std::string_view> named;
    named.reserve(list.backends.size());
    for (const ListedBackend& listed : list.backends) named.insert(listed.host);
    for (const auto& [host, listed] : fleet_) {
      if (named.count(host) > 0) continue;
      missing.push_back(listed);
      missing.back().health = "gone";
    }
  }
  const auto put = [this, &entries](const ListedBackend& listed) {
    const BackendState state = state_of(listed.health);
    const auto known_as = fleet_.find(listed.host);
    if (known_as != fleet_.end() && known_as->second == listed) return;  // as it was
    if (numbers_.count(listed.host) > 0) entries.push_back(&listed);
    if (state == BackendState::kGone) {
      subset_->remove(listed.host);
      fleet_.erase(listed.host);
      return;
    }
    subset_->put({listed.host, zone_number(listed.site), listed.size,
                  state_with_bans(listed) == BackendState::kReady});
    ListedBackend& known = fleet_[listed.host];
    const std::string dial = listed.dial.empty() ? known.dial : listed.dial;
    known = listed;
    known.dial = dial;
  };
  for (const ListedBackend& listed : missing) put(listed);
  for (const ListedBackend& listed : list.backends) put(listed);
  unsettled_ = true;
  if (kind == ListKind::kStored) {
    settle_subset(kind, now);
    return {};
  }
  // Members as they are now, without waiting for the drawing.
  std::erase_if(entries, [this](const ListedBackend* listed) {
    return !subset_->holds(listed->host) && state_of(listed->health) == BackendState::kReady;
  });
  std::vector<BackendId> unwanted = take(entries, ListKind::kDelta, now);
  if (wake_) wake_();
  return unwanted;
}

std::vector<BackendId> Facade::take(const std::vector<const ListedBackend*>& entries, ListKind kind,
                                    Millis now) {
  std::vector<BackendId> unwanted;
  ListUpdate update;
  update.kind = kind;
  update.sharing = subset_ ? subset::holders(place_, subset_->lots()) : 0;
  std::vector<char> named(kind == ListKind::kDelta ? 0 : backends_.size(), 0);
  for (const ListedBackend* const listed : entries) {
    const std::optional<BackendId> number = number_of(*listed);
    if (!number) continue;
    BackendEntry entry;
    entry.backend = *number;
    entry.state = state_with_bans(*listed);
    entry.zone = zone_number(listed->site);
    entry.tag = static_cast<std::uint32_t>(subset::hash_of(listed->host));
    entry.cell = listed->cell;
    entry.started = bans_.started(listed->host, listed->born);
    entry.size = listed->size;
    if (*number < named.size()) named[*number] = 1;
    Known& known = backends_[entry.backend];
    if (!listed->dial.empty()) known.dial = listed->dial;
    if (&known.listed != listed) known.listed = *listed;
    const bool was = set_ready(known, entry.state == BackendState::kReady);
    if (was && !known.ready) unwanted.push_back(*number);
    if (!was && known.ready) known.silences = 0;  // what was heard of it before says nothing now
    known.gone = false;
    if (state_of(listed->health) == BackendState::kGone) leave(*number);
    update.entries.push_back(entry);
  }
  for (BackendId number = 0; number < named.size(); ++number) {
    Known& known = backends_[number];
    if (named[number] || known.host.empty() || known.gone) continue;
    if (set_ready(known, false)) unwanted.push_back(number);
    leave(number);
  }
  feed(update, now);
  return unwanted;
}

// What is out by hand is to the module as one that drains: nothing new, no probes, and fresh beliefs once it
// is back.
BackendState Facade::state_with_bans(const ListedBackend& listed) const {
  const BackendState state = state_of(listed.health);
  return state == BackendState::kReady && bans_.out(listed.host) ? BackendState::kDraining : state;
}

std::vector<BackendId> Facade::report_bans(const manage::BanSet& bans, Millis now) {
  const manage::BanSet before = std::exchange(bans_, bans);
  const auto changed = [&](const ListedBackend& listed) {
    return before.out(listed.host) != bans.out(listed.host) ||
           before.started(listed.host, listed.born) != bans.started(listed.host, listed.born);
  };
  std::vector<const ListedBackend*> entries;
  for (const Known& known : backends_) {
    if (!known.host.empty() && !known.gone && changed(known.listed)) entries.push_back(&known.listed);
  }
  for (const auto& [host, listed] : fleet_) {
    if (!changed(listed)) continue;
    subset_->put(
        {host, zone_number(listed.site), listed.size, state_with_bans(listed) == BackendState::kReady});
    unsettled_ = true;
  }
  return entries.empty() ? std::vector<BackendId>() : take(entries, ListKind::kDelta, now);
}

std::string Facade::list_text() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  const auto text = [&out](const char* key, const std::string& value) {
    out.Key(key);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  out.StartObject();
  out.Key("seq");
  out.Uint64(0);  // discovery is asked for the whole list
  out.Key("whole");
  out.Bool(true);
  out.Key("hosts");
  out.StartArray();
  const auto put = [&](const ListedBackend& listed, const std::string& dial) {
    out.StartObject();
    text("host", listed.host);
    text("dial", dial);
    text("site", listed.site);
    text("health", listed.health);
    out.Key("block");
    out.Int(listed.cell);
    out.Key("share");
    out.Double(listed.size);
    out.Key("born_ms");
    out.Double(listed.born);
    out.EndObject();
  };
  for (const auto& [host, listed] : fleet_) put(listed, listed.dial);
  for (const Known& known : backends_) {
    if (!subset_ && !known.host.empty() && !known.gone) put(known.listed, known.dial);
  }
  out.EndArray();
  out.EndObject();
  return buffer.GetString();
}

bool Facade::lists(const std::string& host) const {
  if (subset_) return fleet_.count(host) > 0;
  const auto it = numbers_.find(host);
  return it != numbers_.end() && !backends_[it->second].gone;
}

std::size_t Facade::listed() const {
  if (subset_) return fleet_.size();
  return static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(),
                                                [](const Known& k) { return !k.host.empty() && !k.gone; }));
}

std::size_t Facade::skipped(Millis now) const {
  std::size_t count = policy_.avoided(now);
  if (!subset_) return count + listed() - ready_;
  for (const auto& [host, listed] : fleet_) count += state_with_bans(listed) != BackendState::kReady;
  return count;
}

// Says whether it was ready before.
bool Facade::set_ready(Known& known, bool ready) {
  const bool was = std::exchange(known.ready, ready);
  if (ready != was) ready ? ++ready_ : --ready_;
  return was;
}

void Facade::leave(BackendId number) {
  Known& known = backends_[number];
  known.gone = true;
  if (!std::exchange(known.leaving, true)) leaving_.push_back(number);
}

void Facade::settle_subset(ListKind kind, Millis now) {
  unsettled_ = false;
  settled_at_ = now;
  ++subset_counters_.drawings;
  const subset::Change change = subset_->settle();
  subset_counters_.changes += change.added.size() + change.removed.size();
  if (change.empty() && kind == ListKind::kDelta) return;
  give_back_numbers();
  std::vector<ListedBackend> left;
  std::vector<const ListedBackend*> entries;
  for (const std::string& host : change.removed) {
    // To the module one that is no longer a member is gone; what is under way there goes on.
    const auto it = fleet_.find(host);
    if (numbers_.count(host) == 0 || (it != fleet_.end() && it->second.health != "ready")) continue;
    left.emplace_back();
    left.back().host = host;
    left.back().health = "gone";
  }
  for (const ListedBackend& one : left) entries.push_back(&one);
  for (const std::string& host : change.added) entries.push_back(&fleet_.at(host));
  const std::vector<BackendId> unwanted = take(entries, kind, now);
  errands_.unwanted.insert(errands_.unwanted.end(), unwanted.begin(), unwanted.end());
}

// Whether a member answers, for the subset's count of its capacity. Any word from it will do.
void Facade::heard(BackendId backend, Outcome outcome) {
  if (!subset_ || outcome == Outcome::kCalledOff || outcome == Outcome::kNotSent) return;
  Known& known = backends_[backend];
  const bool silent = outcome == Outcome::kNoAnswer || outcome == Outcome::kNoConnection;
  const int before = std::exchange(known.silences, silent ? known.silences + 1 : 0);
  if (silent ? known.silences != kSilences : before < kSilences) return;
  subset_->set_answering(known.host, !silent);
  unsettled_ = true;
}

std::optional<SubsetCounters> Facade::subset_counters() const {
  if (!subset_) return std::nullopt;
  SubsetCounters counters = subset_counters_;
  counters.fleet = subset_->fleet();
  counters.members = subset_->size();
  counters.borrowed = subset_->borrowed();
  counters.lots = subset_->lots();
  return counters;
}

// The number by which the module knows this backend; none for one that is gone and was never known.
std::optional<BackendId> Facade::number_of(const ListedBackend& listed) {
  const auto it = numbers_.find(listed.host);
  if (it != numbers_.end()) return it->second;
  if (state_of(listed.health) == BackendState::kGone) return std::nullopt;
  if (free_.empty()) {
    free_.push_back(static_cast<BackendId>(backends_.size()));
    backends_.emplace_back();
  }
  const BackendId number = free_.back();
  free_.pop_back();
  backends_[number].host = listed.host;
  return numbers_[listed.host] = number;
}

// Guards against growing with every backend that ever was: where each replaced one comes back under a new id,
// the numbers of those that are gone go to others, once no request and no probe is left that names them. Only
// with the next list, so that whoever keeps connections by number has dropped them by then.
void Facade::give_back_numbers() {
  std::erase_if(leaving_, [this](BackendId number) {
    Known& known = backends_[number];
    if (known.gone && known.uses > 0) return false;
    known.leaving = false;
    if (!known.gone) return true;  // it is back
    numbers_.erase(known.host);
    known = Known{};
    free_.push_back(number);
    return true;
  });
}

void Facade::erase(std::unordered_map<RequestId, Open>::iterator it) {
  deadlines_.erase({it->second.due + kAfterDue, it->first});
  for (const BackendId backend : it->second.attempts) backends_[backend].uses -= 1;
  requests_.erase(it);
}

void Facade::report_watch_ended(Millis now) {
  // Where lists come by themselves the module never asked, and the host alone sees to the watch.
  if (!settings_.list_on_request) return;
  feed(ListUpdate{ListKind::kFailed, {}}, now);
}

void Facade::body_whole(RequestId request, Millis due) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  deadlines_.erase({it->second.due + kAfterDue, request});
  it->second.due = due;
  if (!it->second.over) deadlines_.emplace(due + kAfterDue, request);
  if (wake_) wake_();
}

void Facade::report_client_gone(RequestId request, Millis now) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.over) return;
  it->second.over = true;
  if (it->second.out == 0) erase(it);
  feed(RequestGone{request}, now);
}

Errands Facade::tick(Millis now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::uint64_t cookie = timers_.begin()->second;
    timers_.erase(timers_.begin());
    feed(TimerFired{cookie}, now);
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId request = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto it = requests_.find(request);
    if (it == requests_.end() || it->second.over) continue;
    spdlog::warn("request {} had no answer by its due time", request);
    answer(request, {Choice::Kind::kFail, request});
    feed(RequestGone{request}, now);
  }
  const Millis draw_at = settled_at_ + kDrawEvery;
  if (unsettled_ && now >= draw_at) settle_subset(ListKind::kDelta, now);
  Errands due = std::exchange(errands_, {});
  Millis timer = timers_.empty() ? 0 : timers_.begin()->first;
  if (unsettled_) timer = timer > 0 ? std::min(timer, draw_at) : draw_at;
  const Millis deadline = deadlines_.empty() ? 0 : deadlines_.begin()->first;
  due.next = timer > 0 && deadline > 0 ? std::min(timer, deadline) : std::max(timer, deadline);
  return due;
}

void Facade::feed(const Event& event, Millis now) {
  handle(event, now);
  // What could not be sent is told once the actions before it are done, as it would be by a network.
  while (!unsent_.empty()) {
    for (const Event& unsent : std::exchange(unsent_, {})) handle(unsent, now);
  }
  if (wake_) wake_();
}

void Facade::handle(const Event& event, Millis now) {
  std::vector<Action> actions;
  if (further_.left) {
    const double left = further_.left();
    if (left != told_left_) policy_.handle(FurtherAllowed{told_left_ = left}, now, actions);
  }
  policy_.handle(event, now, actions);
  const auto* const ended = std::get_if<AttemptEnded>(&event);
  if (further_.made && ended != nullptr && ended->outcome != Outcome::kServed && !ended->request_over &&
      told_left_ < 1) {
    const auto sends = [](const Action& action) { return std::holds_alternative<SendAttempt>(action); };
    if (std::none_of(actions.begin(), actions.end(), sends)) further_.made();  // it is counted as wanted
  }
  for (const Action& action : actions) perform(action, now);
}

void Facade::bound_attempts(Further further, Millis now) {
  further_ = std::move(further);
  if (further_.left) return;
  told_left_ = std::numeric_limits<double>::infinity();
  std::vector<Action> none;
  policy_.handle(FurtherAllowed{told_left_}, now, none);
}

void Facade::perform(const Action& action, Millis now) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    start_attempt(*send, now);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    errands_.call_off.emplace_back(cancel->request, cancel->attempt);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    Choice choice{Choice::Kind::kRefuse, refuse->request};
    choice.wait = refuse->wait;
    answer(refuse->request, choice);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    answer(fail->request, {Choice::Kind::kFail, fail->request});
  } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
    backends_.at(probe->backend).uses += 1;
    errands_.probes.push_back(probe->backend);
  } else if (std::holds_alternative<SubscribeList>(action)) {
    errands_.watch = true;
  } else if (const auto* idle = std::get_if<CloseIdle>(&action)) {
    errands_.crowded.push_back(idle->backend);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(timer->at, timer->cookie);
  } else if (const auto* note = std::get_if<Note>(&action)) {
    spdlog::info("module: {}", note->text);
  }
}

void Facade::start_attempt(const SendAttempt& send, Millis now) {
  const auto it = requests_.find(send.request);
  if (it == requests_.end()) {
    spdlog::error("attempt for unknown request {}", send.request);
    return;
  }
  Open& open = it->second;
  Choice choice{Choice::Kind::kSend, send.request};
  choice.backend = send.backend;
  choice.attempt = static_cast<int>(open.attempts.size());
  choice.until = send.stop_at > 0 ? std::min(send.stop_at, open.due) : open.due;
  open.attempts.push_back(send.backend);
  backends_.at(send.backend).uses += 1;
  if (open.over || choice.until <= now || choice.attempt >= open.most_attempts) {
    AttemptEnded ended;
    ended.request = send.request;
    ended.backend = send.backend;
    ended.attempt = choice.attempt;
    ended.outcome = outcome_of(Ending::kNotSent);
    ended.request_over = open.over;
    unsent_.emplace_back(ended);
    return;
  }
  open.out += 1;
  if (choice.attempt > 0 && further_.made) further_.made();
  errands_.choices.push_back(choice);
}

// A final answer by this node. Attempts still out are reported later, to a request that is over.
void Facade::answer(RequestId request, Choice choice) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.over) return;
  it->second.over = true;
  errands_.choices.push_back(choice);
  if (it->second.out == 0) erase(it);
}

// What has just been decided of this request, if anything; what came up of others waits for tick().
Choice Facade::take(RequestId request, Choice::Kind otherwise) {
  auto& choices = errands_.choices;
  const auto it = std::find_if(choices.begin(), choices.end(),
                               [request](const Choice& choice) { return choice.request == request; });
  if (it == choices.end()) return {otherwise, request};
  const Choice found = *it;
  choices.erase(it);
  return found;
}

int Facade::zone_number(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  if (it != zones_.end()) return static_cast<int>(it - zones_.begin());
  zones_.push_back(name);
  return static_cast<int>(zones_.size()) - 1;
}

}  // namespace shorelead::node
