// What a pool does about the events of its connections and of its backend list.
#include "node/pool.h"

namespace shorelead::node {
namespace {

limits::Purpose purpose_of(bool probe) { return probe ? limits::Purpose::kProbe : limits::Purpose::kRequest; }

}  // namespace

Upstream::Listener Pool::upstream_listener() {
  Upstream::Listener listener;
  listener.attempt_done = [this](RequestId request, int attempt, const Result& result) {
    attempt_done(request, attempt, result);
  };
  listener.probe_done = [this](BackendId backend, const Result& result) { probe_done(backend, result); };
  listener.response_ended = [this](RequestId request, std::optional<Ending> ending) {
    policy_host_.report_response(request, ending, loop_.now());
  };
  listener.make_room = [this](bool probe) { return host_.make_room(purpose_of(probe)); };
  listener.keep = [this](bool probe) { return host_.keep(purpose_of(probe)); };
  listener.describe = [this](RequestId request, BackendId backend, Millis now, guard::RequestState& state,
                             guard::BackendState& there) {
    policy_host_.describe(request, backend, now, state, there);
    state.client_waiting = host_.still_waits(request);
  };
  listener.may_stream = [this](RequestId request) { return !host_.has_read_ahead(request); };
  listener.withdrawn = [this](BackendId backend, Millis now) {
    return record_.withdrawn(policy_host_.host(backend), now);
  };
  listener.recorder = host_.recorder;
  return listener;
}

BackendSource::Listener Pool::source_listener() {
  BackendSource::Listener listener;
  listener.list = [this](const List& list, ListSource from) { apply(list, from); };
  listener.watch_ended = [this] { policy_host_.report_watch_ended(loop_.now()); };
  listener.validity = [this](const ListValidity& validity) {
    record_.validity(validity);
    policy_host_.report_validity(validity, loop_.now());
  };
  listener.discovery = [this](const guard::DiscoverySign& sign) { record_.discovery(sign); };
  return listener;
}

void Pool::probe_done(BackendId backend, const Result& result) {
  counters_.probe_ended(policy_host_.host(backend), result.ending, result.elapsed);
  policy_host_.report_probe(backend, result.ending, result.elapsed, result.load ? &*result.load : nullptr,
                            loop_.now());
}

void Pool::apply(const List& list, ListSource from) {
  record_.list(list);
  const auto unwanted = policy_host_.report_list(list, from, loop_.now());
  for (const BackendId one : unwanted) record_.log_withdrawn(list.version, policy_host_.host(one));
  upstream_->withdraw(unwanted);
  for (const auto& one : policy_host_.take_restarted())
    upstream_->backend_restarted(one.backend, one.started);
}

}  // namespace shorelead::node
