#include "node/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace shorelead::node {
namespace {

constexpr int kOwnDescriptors =
    32;                      // standard streams, reactor, timers, signals, listener, watch, some spare
constexpr int kCrowded = 8;  // room is short when less than one in so many descriptors is free
constexpr int kRoomy = 2;    // and plentiful when less than one in so many is in use
constexpr int kManyUnused =
    6;  // unused clients' connections are many where they take more than one in so many
constexpr Millis kLastCall = 100;  // and for a request on a connection taken in at the very end
constexpr Millis kLeaveEvery = 20;
constexpr Millis kLeaveAfter = 600;  // beyond the longest deadline, whatever is left
// Where the module does not say when to ask for the list.
constexpr Millis kWatchWaitMin = 200;
constexpr Millis kWatchWaitMax = 2000;
constexpr Millis kReadyWait = 500;  // for the list of now, where one of earlier is known

}  // namespace

Server::Server(Loop& loop, const Config& config, const Waits& waits)
    : loop_(loop),
      config_(config),
      limits_(config.limits),
      waits_(waits),
      facade_(config.settings, config.host, config.seed, config.fleet),
      jitter_(config.seed),
      started_(loop.now()) {
  facade_.on_errand([this] {
    if (std::exchange(settling_, true)) return;
    loop_.later([this] { settle(); });
  });
  upstream_ = std::make_unique<Upstream>(
      loop_, config.settings.connect_timeout, config.host.idle_timeout,
      Upstream::Listener{[this](RequestId request, int attempt, const Result& result) {
                           attempt_done(request, attempt, result);
                         },
                         [this](BackendId backend, const Result& result) {
                           ++probe_endings_[result.ending];
                           facade_.report_probe(backend, result.ending, result.elapsed,
                                                result.load ? &*result.load : nullptr, loop_.now());
                         },
                         [this](bool probe) {
                           return make_room(probe ? limits::Purpose::kProbe : limits::Purpose::kRequest);
                         },
                         [this](bool probe) {
                           return descriptors().keep(
                               probe ? limits::Purpose::kProbe : limits::Purpose::kRequest,
                               descriptors_now());
                         }});
  discovery_ =
      std::make_unique<Discovery>(loop_, config.discovery, config.known.version,
                                  Discovery::Listener{[this](const List& list) { list_changed(list); },
                                                      [this](Ending ending) { watch_ended(ending); }});
  front_ = std::make_unique<Front>(
      loop_, config.listen, config.settings, config.host,
      Front::Listener{
          [this](RequestId request, const Ask& ask, std::shared_ptr<const Message> message) {
            open_[request].message = std::move(message);
            carry_out(facade_.pick(request, ask, loop_.now()));
          },
          [this](RequestId request) {
            facade_.report_client_gone(request, loop_.now());
            close(request);
          },
          [this] {
            // A list of earlier will do if discovery takes its time.
            if (leaving_) return false;
            if (discovery_->last_told() > 0) return true;
            return facade_.backends() > 0 && loop_.now() - started_ >= kReadyWait;
          },
          [this] { return Stream::open_count() * kCrowded >= most_streams() * (kCrowded - 1); },
          [this](std::size_t unused) { return static_cast<int>(unused) * kManyUnused > most_streams(); },
          [this] { return Stream::open_count() * kRoomy < most_streams(); },
          [this] { return make_room(limits::Purpose::kClient); }});
  front_->route_by(config.routes);
  facade_.start(config.known, loop_.now());
  if (!config.settings.list_on_request) discovery_->watch();
}

Server::~Server() {
  loop_.cancel(wake_);
  loop_.cancel(rewatch_);
}

void Server::carry_out(const Choice& choice) {
  const auto it = open_.find(choice.request);
  switch (choice.kind) {
    case Choice::Kind::kSend:
      if (it == open_.end()) {
        Result result;
        return attempt_done(choice.request, choice.attempt, result);
      }
      ++sent_;
      upstream_->send(choice.request, choice.attempt, choice.backend, facade_.dial(choice.backend),
                      choice.until, it->second.message);
      break;
    case Choice::Kind::kRefuse:
      front_->refuse(choice.request, choice.wait);
      close(choice.request);
      break;
    case Choice::Kind::kFail: {
      const bool late = it != open_.end() && it->second.last == Ending::kTimeout;
      front_->fail(choice.request, late ? 504 : 502);
      close(choice.request);
      break;
    }
    case Choice::Kind::kHold:
    case Choice::Kind::kPass:
    case Choice::Kind::kOver:
      break;
  }
}

// The request is over. Guards against an attempt that is written after the final answer, where the settings
// forbid to call it off: one that waits for a connection has not been sent yet.
void Server::close(RequestId request) {
  open_.erase(request);
  upstream_->stop_unsent(request);
}

// Does what fell due, and sees to it that the next is not missed.
void Server::settle() {
  settling_ = false;
  const Errands due = facade_.tick(loop_.now());
  upstream_->withdraw(due.unwanted);
  for (const Choice& choice : due.choices) carry_out(choice);
  for (const auto& [request, attempt] : due.call_off) upstream_->call_off(request, attempt);
  for (const BackendId backend : due.probes) {
    ++probes_;
    upstream_->probe(backend, facade_.dial(backend));
  }
  if (due.watch) discovery_->watch();
  most_sockets_ = std::max(most_sockets_, Stream::open_count());
  if (due.next == wake_at_ && wake_ != 0) return;
  loop_.cancel(wake_);
  wake_at_ = due.next;
  if (due.next > 0) {
    wake_ = loop_.at(due.next, [this] {
      wake_ = 0;
      settle();
    });
  }
}

void Server::attempt_done(RequestId request, int attempt, const Result& result) {
  ++attempt_endings_[result.ending];
  const auto it = open_.find(request);
  if (it != open_.end()) it->second.last = result.ending;
  const Choice choice = facade_.report(request, attempt, result.ending, result.elapsed,
                                       result.load ? &*result.load : nullptr, loop_.now());
  if (choice.kind == Choice::Kind::kPass) {
    front_->serve(request, *result.answer);
    close(request);
    return;
  }
  carry_out(choice);
}

void Server::list_changed(const List& list) {
  watch_wait_ = 0;
  std::size_t ready = 0;
  std::size_t draining = 0;
  for (const ListedBackend& backend : list.backends) {
    ready += backend.health == "ready";
    draining += backend.health == "draining";
  }
  spdlog::info("list {}: {}, {} ready, {} draining, {} gone", list.version, list.whole ? "whole" : "changes",
               ready, draining, list.backends.size() - ready - draining);
  upstream_->withdraw(facade_.report_list(list, ListSource::kWatch, loop_.now()));
}

void Server::watch_ended(Ending ending) {
  ++watch_endings_[ending];
  spdlog::warn("watch on the list ended: {}", name_of(ending));
  facade_.report_watch_ended(loop_.now());
  if (config_.settings.list_on_request) return;
  watch_wait_ = std::clamp(watch_wait_ * 2, kWatchWaitMin, kWatchWaitMax);
  const double part = std::uniform_real_distribution<double>(0.5, 1.5)(jitter_);
  rewatch_ = loop_.after(watch_wait_ * part, [this] {
    rewatch_ = 0;
    discovery_->watch();
  });
}

int Server::most_streams() const { return limits_.sockets - kOwnDescriptors; }

limits::Descriptors Server::descriptors() const { return limits::Descriptors(most_streams()); }

limits::DescriptorCounts Server::descriptors_now() const {
  return {Stream::open_count(), static_cast<int>(upstream_->connections()),
          static_cast<int>(upstream_->probing())};
}

// Busy clients may take all the others: a request for which no descriptor is left is refused at once, which
// makes its client idle.
bool Server::make_room(limits::Purpose purpose) {
  while (true) {
    switch (descriptors().step(purpose, descriptors_now())) {
      case limits::Step::kOpen:
        return true;
      case limits::Step::kEvictClient:
        if (!front_->evict_idle() && !upstream_->evict_idle()) return false;
        break;
      case limits::Step::kEvictBackend:
        if (!upstream_->evict_idle() && !front_->evict_idle()) return false;
        break;
      case limits::Step::kEvictClientOnly:
        if (!front_->evict_idle()) return false;
        break;
      case limits::Step::kRefuse:
        return false;
    }
  }
}

void Server::shut_down() {
  if (std::exchange(leaving_, true)) return;
  spdlog::info("shutting down, {} requests under way", facade_.open_requests());
  front_->drain();
  Millis longest = 0;
  for (const RequestClass& request_class : config_.settings.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  const Millis until = loop_.now() + longest + kLeaveAfter;
  loop_.after(waits_.accept_on, [this, until] {
    front_->close_listener();
    loop_.after(kLastCall, [this, until] { leave_when_empty(until); });
  });
}

void Server::reload(const std::function<Config()>& read) {
  std::optional<Config> fresh;
  try {
    fresh = read();
  } catch (const std::exception& error) {
    ++bad_reloads_;
    spdlog::error("configuration not reloaded, the old one stays: {}", error.what());
    return;
  }
  ++reloads_;
  limits_ = fresh->limits;
  // Requests that have been read keep the class they were given. Routes name classes by number, so they count
  // only where the classes are those of the start.
  const bool same_classes = fresh->host.classes == config_.host.classes;
  if (same_classes) front_->route_by(fresh->routes);
  if (!same_classes) spdlog::warn("the classes are other ones: routes and classes wait for the next start");
  spdlog::info("configuration reloaded: discovery at {}, {} sockets; the rest counts from the next start",
               fresh->discovery.toString(), limits_.sockets);
  loop_.cancel(rewatch_);
  watch_wait_ = 0;
  discovery_->move(fresh->discovery);
  if (!config_.settings.list_on_request) discovery_->watch();  // the wait for it was just cancelled
}

void Server::leave_when_empty(Millis until) {
  if (front_->empty() || loop_.now() >= until) {
    spdlog::info("shut down, {} connections left", front_->clients());
    return loop_.stop();
  }
  loop_.after(kLeaveEvery, [this, until] { leave_when_empty(until); });
}

void Server::log_counters() const {
  const FrontCounters& front = front_->counters();
  const auto listed = [](const auto& counts, const auto& name) {
    std::string text;
    for (const auto& [key, count] : counts) {
      if (!text.empty()) text += ' ';
      text.append(name(key)).append("=").append(std::to_string(count));
    }
    return text.empty() ? std::string("none") : text;
  };
  const auto ending = [](Ending e) { return std::string(name_of(e)); };
  const auto status = [](int code) { return std::to_string(code); };
  const Millis now = loop_.now();
  const Millis told = discovery_->last_told();
  spdlog::info(
      "counters: up_s={:.1f} taken={} served={} refused={} failed={} client_gone={} left_early={} "
      "malformed={} reloads={} bad_reloads={}",
      (now - started_) / 1000, front.taken, front.served, front.refused, front.failed, front.client_gone,
      front.left_early, front.malformed, reloads_, bad_reloads_);
  spdlog::info("counters: answers {}", listed(front.by_status, status));
  spdlog::info("counters: sent={} attempts {}", sent_, listed(attempt_endings_, ending));
  spdlog::info("counters: probes={} {}", probes_, listed(probe_endings_, ending));
  spdlog::info("counters: list version={} age_s={:.1f} watches={} {}", discovery_->version(),
               told > 0 ? (now - told) / 1000 : -1.0, discovery_->opened(), listed(watch_endings_, ending));
  spdlog::info(
      "counters: sockets open={} most={} clients={} accepted={} silent={} unused={} evicted={} paused={} "
      "backends={} idle={} "
      "made={} reused={}",
      Stream::open_count(), most_sockets_, front_->clients(), front.accepted, front.silent, front.idle,
      front.evicted, front.paused, upstream_->connections(), upstream_->idle(), upstream_->opened(),
      upstream_->reused());
  if (const auto subset = facade_.subset_counters()) {
    spdlog::info("counters: subset fleet={} members={} lots={} borrowed={} drawings={} changes={}",
                 subset->fleet, subset->members, subset->lots, subset->borrowed, subset->drawings,
                 subset->changes);
  }
  spdlog::info("counters: descriptors state={} most={} backends_budget={} probing={}",
               limits::name_of(descriptors().state(descriptors_now())), most_streams(),
               descriptors().backends_budget(), upstream_->probing());
  spdlog::info("counters: open_requests={} worst_timer_lag_ms={:.2f} wakeups={}", facade_.open_requests(),
               loop_.worst_lag(), loop_.wakeups());
}

}  // namespace shorelead::node
