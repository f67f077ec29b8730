// Assembles the decision module from its parts and passes each event to those that it concerns, in order. The
// base algorithm is ALBL (Kontogiannis et al., see docs/design.md): probe every ready backend in each period,
// turn the response times into shares, and send requests along a weighted rotation that is reshuffled.
#include "policy/policy.h"

#include "policy/requests.h"

namespace shorelead {

class Policy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : context_(settings, seed) {}

  void handle(const Event& event, Millis now, std::vector<Action>& actions) {
    context_.now = now;
    context_.actions = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  bool list_valid(Millis now) const { return lists_.valid(now); }

  std::size_t avoided(Millis now) const {
    std::size_t count = 0;
    for (BackendId backend = 0; backend < lists_.size(); ++backend) {
      count += lists_.ready(backend) && (!rotation_.usable(backend) || health_.ejected(backend, now));
    }
    return count;
  }

 private:
  // What was measured of backends and classes stays; a new class starts as an average one.
  void on(const SettingsChanged& changed) {
    context_.apply(changed.settings);
    estimates_.set_classes(context_.settings.classes.size());
    peer_exchange_.settings_changed();
    health_.settings_changed();
  }

  void on(const Started&) {
    lists_.start();
    const double phase = context_.random.unit();  // so that nodes started together do not probe in step
    context_.set_timer(policy::kTickTimer, context_.now + phase * policy::kPeriod);
  }

  void on(const ListUpdate& update) {
    lists_.apply(update, [this](BackendId backend, bool returned) {
      estimates_.listed(backend, lists_[backend].started, lists_[backend].size);
      if (returned) reset_backend(backend);
      if (!lists_.ready(backend)) rotation_.remove(backend);
    });
    if (update.kind == ListKind::kStored) rotation_.renew_shares();
  }

  // A new or returned backend starts afresh: earlier measurements do not apply to it.
  void reset_backend(BackendId backend) {
    probes_.reset(backend);
    rotation_.reset(backend);
    slow_start_.begin(backend);
    estimates_.reset(backend);
    health_.reset(backend);
    peer_exchange_.reset(backend);
  }

  void on(const TimerFired& fired) {
    if (fired.cookie == policy::kProbeWaitTimer) return requests_.resume_held();
    if (fired.cookie == policy::kListTimer) return lists_.subscribe();
    if (fired.cookie != policy::kTickTimer) return requests_.hedge(fired.cookie >> 8);
    context_.set_timer(policy::kTickTimer, context_.now + policy::kPeriod / policy::kTicksPerPeriod);
    // Also where probing is not allowed: the rotation, the request rate and fading records depend on it.
    if (tick_++ % policy::kTicksPerPeriod == 0) close_period();
    if (context_.settings.probing) probes_.send_due();
  }

  void close_period() {
    rotation_.renew_shares();
    peer_exchange_.report_rates();
    estimates_.close_period(
        [this](std::size_t backend) { return rotation_.usable(static_cast<BackendId>(backend)); },
        lists_.size(), rotation_.mean_share());
    probes_.set_round_duration(estimates_.rate(), rotation_.mean_share());
  }

  void on(const ProbeEnded& e) {
    lists_.require_known(e.backend);
    const bool counts = probes_.ended(e.backend);
    if (e.has_report) estimates_.reported(e.backend, e.report);
    requests_.resume_held();
    if (counts) probes_.record(e);
  }

  void on(const PeerMessageReceived& e) {
    if (peer_exchange_.receive(e)) requests_.resume_held();
  }

  void on(const RequestArrived& e) { requests_.arrived(e); }
  void on(const AttemptEnded& e) { requests_.ended(e); }
  void on(const ResponseEnded& e) {
    lists_.require_known(e.backend);
    health_.record_outcome(e.backend, e.request_class, e.outcome);
  }
  void on(const StreamStarted& e) { requests_.stream_started(e.request); }
  void on(const RequestGone& e) { requests_.client_gone(e.request); }
  void on(const RetriesAllowed& e) { retries_.set_fleet_budget(e.left); }
  void on(const ListValidity& e) { lists_.set_validity(e); }

  policy::Context context_;
  policy::Lists lists_{context_};
  policy::Probes probes_{context_, lists_};
  policy::Rotation rotation_{context_, lists_, probes_};
  estimate::Backends estimates_{context_, context_.initial_service_time(), context_.settings.classes.size()};
  policy::SlowStartBudgets slow_start_{context_, estimates_};
  policy::Health health_{context_, lists_};
  policy::PeerExchange peer_exchange_{context_, lists_, estimates_};
  policy::Retries retries_{context_, lists_};
  policy::BackendSelector selector_{context_,    lists_,  probes_,  rotation_,
                                    slow_start_, health_, retries_, estimates_};
  policy::ProbeBeforeSend probe_before_send_{context_,       lists_,     probes_,  rotation_,
                                             peer_exchange_, estimates_, selector_};
  policy::Requests requests_{{context_, lists_, probes_, rotation_, slow_start_, health_, peer_exchange_,
                              retries_, estimates_, selector_, probe_before_send_}};
  int tick_ = 0;
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

bool Policy::list_valid(Millis now) const { return impl_->list_valid(now); }

}  // namespace shorelead
