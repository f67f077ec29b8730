// shorelead's decisions, put together from their parts. The ordinary path is ALBL (Kontogiannis et al., see
// docs/design.md): probe every ready backend each period, turn the timings into shares, send along a weighted
// rotation that is reshuffled. Here each event is handed to the parts that it concerns, in order.
#include "policy/policy.h"

#include "policy/requests.h"

namespace shorelead {

class Policy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : c_(settings, seed) {}

  void handle(const Event& event, Millis now, std::vector<Action>& actions) {
    c_.now = now;
    c_.out = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  bool confirmed(BackendId backend, Millis now) const { return confirmations_.holds(backend, now); }

  std::size_t avoided(Millis now) const {
    std::size_t count = 0;
    for (BackendId i = 0; i < lists_.size(); ++i) {
      count += lists_.ready(i) && (!rotation_.usable(i) || health_.rests(i, now));
    }
    return count;
  }

 private:
  // What was learnt of backends and classes stays; a class not seen before is taken for an ordinary one.
  void on(const SettingsChanged& changed) {
    c_.change(changed.settings);
    known_.set_classes(c_.settings.classes.size());
    peer_exchange_.settings_changed();
    health_.settings_changed();
  }

  void on(const Started&) {
    lists_.start();
    const double phase = c_.random.unit();  // so nodes started together do not probe in step
    c_.timer(policy::kTickTimer, c_.now + phase * policy::kPeriod);
  }

  void on(const ListUpdate& update) {
    lists_.take(update, [this](BackendId i, bool returned) {
      known_.listed(i, lists_[i].started, lists_[i].size);
      if (returned) welcome(i);
      if (!lists_.ready(i)) rotation_.leave(i);
    });
    if (update.kind == ListKind::kStored) rotation_.renew();
  }

  // A new or returned backend starts over: what was measured before says nothing of it.
  void welcome(BackendId i) {
    probes_.welcome(i);
    confirmations_.welcome(i);
    rotation_.welcome(i);
    slow_start_.welcome(i);
    known_.welcome(i);
    health_.welcome(i);
    peer_exchange_.welcome(i);
  }

  void on(const TimerFired& fired) {
    if (fired.cookie == policy::kLookTimer) return requests_.look_again();
    if (fired.cookie == policy::kListTimer) return lists_.ask();
    if (fired.cookie != policy::kTickTimer) return requests_.second_copy(fired.cookie >> 8);
    c_.timer(policy::kTickTimer, c_.now + policy::kPeriod / policy::kTicks);
    // Also where probing is not allowed: rotation, rates and fading records live by the period.
    if (tick_++ % policy::kTicks == 0) close_period();
    if (c_.settings.probing) probes_.send_due();
  }

  void close_period() {
    rotation_.renew();
    peer_exchange_.tell_rates();
    known_.close_period([this](std::size_t i) { return rotation_.usable(static_cast<BackendId>(i)); },
                        lists_.size(), rotation_.mean_share());
    probes_.set_round(known_.rate(), rotation_.mean_share());
  }

  void on(const ProbeEnded& e) {
    lists_.require(e.backend);
    const bool counts = probes_.ended(e.backend);
    confirmations_.probed(e.backend, e.outcome, e.elapsed);
    if (e.has_report) known_.reported(e.backend, e.report);
    requests_.look_again();
    if (counts) probes_.record(e);
  }

  void on(const PeerMessageReceived& e) {
    if (peer_exchange_.hear(e)) requests_.look_again();
  }

  void on(const RequestArrived& e) { requests_.arrived(e); }
  void on(const AttemptEnded& e) { requests_.ended(e); }
  void on(const StreamStarted& e) { requests_.streams(e.request); }
  void on(const RequestGone& e) { requests_.gone(e.request); }
  void on(const RetriesAllowed& e) { retries_.allow(e.left); }
  void on(const ListValidity& e) { confirmations_.change(e); }

  policy::Context c_;
  policy::Lists lists_{c_};
  policy::Probes probes_{c_, lists_};
  policy::Confirmations confirmations_{c_};
  policy::Rotation rotation_{c_, lists_, probes_};
  estimate::Backends known_{c_, c_.first_guess(), c_.settings.classes.size()};
  policy::SlowStartBudgets slow_start_{c_, known_};
  policy::Health health_{c_, lists_};
  policy::PeerExchange peer_exchange_{c_, lists_, known_};
  policy::Retries retries_{c_, lists_};
  policy::BackendSelector selector_{c_,          lists_,  probes_,  confirmations_, rotation_,
                                    slow_start_, health_, retries_, known_};
  policy::ProbeBeforeSend probe_before_send_{c_,        lists_,         probes_, confirmations_,
                                             rotation_, peer_exchange_, known_,  selector_};
  policy::Requests requests_{{c_, lists_, probes_, rotation_, slow_start_, health_, peer_exchange_, retries_,
                              known_, selector_, probe_before_send_}};
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

bool Policy::confirmed(BackendId backend, Millis now) const { return impl_->confirmed(backend, now); }

}  // namespace shorelead
