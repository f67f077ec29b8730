#include "lab/etcd.h"

#include <cstdlib>
#include <utility>

namespace shorelead::lab {
namespace {

constexpr std::uint64_t kLostHistory = 6;  // changes that a restart forgets

// A box's key: /nN/HOST.
bool of_a_box(const std::string& key) {
  return key.compare(0, 2, "/n") == 0 && key.find('/', 1) != std::string::npos;
}

EtcdTroubles troubles_of(const DiscoverySpec& spec) {
  return {spec.members, spec.cuts, 0, spec.compact_every, spec.lag, spec.deaf};
}

}  // namespace

EtcdRegistry::EtcdRegistry(boost::asio::io_context& context, const Experiment& experiment,
                           const std::string& address, std::function<std::string(int, int)> dial,
                           const std::vector<BoxNote>& boxes)
    : experiment_(experiment),
      dial_(std::move(dial)),
      boxes_(boxes),
      server_(context, address, troubles_of(experiment.discovery), experiment.seed,
              {of_a_box, [this](const std::vector<KeyChange>& told) { note(told); }}) {}

std::string EtcdRegistry::dial(int) const { return server_.dial(); }

std::string EtcdRegistry::list(int) const { return "{\"seq\":0,\"whole\":true,\"hosts\":[]}"; }

std::string EtcdRegistry::value(int box, BoxState state, int node) const {
  const BoxNote& note = boxes_[static_cast<std::size_t>(box)];
  return "{\"dial\":\"" + dial_(box, node) + "\",\"health\":\"" + name_of(state) + "\",\"site\":\"" +
         experiment_.fleet.zones[static_cast<std::size_t>(note.zone)] +
         "\",\"block\":" + std::to_string(note.cell) +
         ",\"share\":1.0,\"born_ms\":" + std::to_string(static_cast<long long>(note.born)) + "}";
}

// Which box of which node each change is of, for the log.
void EtcdRegistry::note(const std::vector<KeyChange>& told) {
  for (const KeyChange& change : told) {
    if (!of_a_box(change.key)) continue;
    const auto box = box_of_.find(change.key.substr(change.key.find('/', 1) + 1));
    if (box == box_of_.end()) continue;
    const bool drains = change.now.value.find("\"draining\"") != std::string::npos;
    const BoxState state = change.deleted ? BoxState::kGone : drains ? BoxState::kDraining : BoxState::kReady;
    told_.push_back({std::atoi(change.key.c_str() + 2), box->second, state, clock_now()});
  }
}

void EtcdRegistry::publish(int box, BoxState state) {
  const std::string& host = boxes_[static_cast<std::size_t>(box)].host;
  box_of_[host] = box;
  states_[box] = state;
  for (int node = 0; node < experiment_.nodes.count; ++node) {
    const std::string key = "/n" + std::to_string(node) + "/" + host;
    if (state == BoxState::kGone) {
      server_.store().remove(key);
    } else {
      server_.store().put(key, value(box, state, node));
    }
  }
  server_.poke();
}

// As from a copy of some changes ago; then boxes say again what they are.
void EtcdRegistry::restart() {
  server_.restart(kLostHistory);
  const auto states = states_;
  for (const auto& [box, state] : states) publish(box, state);
}

}  // namespace shorelead::lab
