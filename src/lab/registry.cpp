#include "lab/registry.h"

#include "lab/clock.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kListenAgain = 20;

void append(std::string& hosts, const std::string& entry) {
  if (!hosts.empty()) hosts += ',';
  hosts += entry;
}

}  // namespace

Registry::Registry(asio::io_context& context, int nodes, const std::vector<std::string>& addresses,
                   std::function<std::string(int, int)> dial, const std::vector<BoxNote>& boxes,
                   const std::vector<std::string>& zones, const DiscoverySpec& spec)
    : context_(context),
      nodes_(nodes),
      addresses_(addresses),
      spec_(spec),
      dial_(std::move(dial)),
      boxes_(boxes),
      zones_(zones) {
  ports_.resize(static_cast<std::size_t>(nodes) * 2);
  acceptors_.resize(ports_.size());
  for (int door = 0; door < nodes * 2; ++door) listen(door);
}

Registry::~Registry() {
  const Sessions sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

void Registry::listen(int door) {
  const auto n = static_cast<std::size_t>(door);
  const tcp::endpoint at(asio::ip::make_address(addresses_[n % static_cast<std::size_t>(nodes_)]), ports_[n]);
  try {
    acceptors_[n] = std::make_unique<tcp::acceptor>(context_, at, true);
  } catch (const boost::system::system_error&) {
    if (ports_[n] == 0) throw;
    // A connection from that very port, made meanwhile, holds it for a moment.
    auto again = std::make_shared<Alarm>(context_);
    again->at(clock_now() + kListenAgain, nullptr, [this, again, door] {
      if (!down_) listen(door);
    });
    return;
  }
  ports_[n] = acceptors_[n]->local_endpoint().port();
  accept(door);
}

void Registry::accept(int door) {
  acceptors_[static_cast<std::size_t>(door)]->async_accept(
      [this, door](const error_code& error, tcp::socket socket) {
        if (error) return;
        auto session = std::make_shared<RegistrySession>(*this, door % nodes_, std::move(socket));
        sessions_.insert(session);
        session->read();
        accept(door);
      });
}

std::string Registry::dial(int node) const {
  const auto n = static_cast<std::size_t>(node);
  return addresses_[n] + ":" + std::to_string(ports_[n]);
}

std::string Registry::second_dial(int node) const {
  const auto n = static_cast<std::size_t>(node);
  return addresses_[n] + ":" + std::to_string(ports_[n + static_cast<std::size_t>(nodes_)]);
}

std::string Registry::entry(int box, BoxState state, int node) const {
  const BoxNote& note = boxes_[static_cast<std::size_t>(box)];
  return "{\"host\":\"" + note.host + "\",\"dial\":\"" + dial_(box, node) + "\",\"site\":\"" +
         zones_[static_cast<std::size_t>(note.zone)] +
         "\",\"class\":\"std\",\"block\":" + std::to_string(note.cell) + ",\"health\":\"" + name_of(state) +
         "\",\"share\":1.0,\"born_ms\":" + std::to_string(static_cast<long long>(note.born)) + "}";
}

std::string Registry::object(std::uint64_t version, bool is_whole, const std::string& hosts) const {
  return std::string("{\"seq\":") + std::to_string(version) + ",\"whole\":" + (is_whole ? "true" : "false") +
         ",\"hosts\":[" + hosts + "]}";
}

ListLine Registry::whole(int node) const {
  ListLine line;
  if (empty_) {
    line.text = object(version_, true, "");
    return line;
  }
  std::string hosts;
  for (const auto& [box, entry_now] : entries_) {
    line.says.emplace_back(box, entry_now.state);
    const bool left_out = spec_.leaves_out && entry_now.state == BoxState::kDraining;
    if (entry_now.state == BoxState::kGone || left_out) continue;
    append(hosts, entry(box, entry_now.state, node));
  }
  line.text = object(version_, true, hosts);
  return line;
}

ListLine Registry::since(int node, std::uint64_t version) const {
  if (spec_.whole || empty_ || version < oldest_ || version > version_ || version == 0) return whole(node);
  ListLine line;
  std::string hosts;
  for (const auto& [box, entry_now] : entries_) {
    if (entry_now.version <= version) continue;
    line.says.emplace_back(box, entry_now.state);
    append(hosts, entry(box, entry_now.state, node));
  }
  line.text = object(version_, false, hosts);
  return line;
}

ListLine Registry::one(int node, int box, BoxState state) const {
  return {object(version_, false, entry(box, state, node)), {{box, state}}};
}

std::string Registry::list(int node) const { return whole(node).text; }

std::string Registry::known(int node) const {
  switch (spec_.known) {
    case KnownList::kNow:
      return list(node);
    case KnownList::kEmpty:
      return object(0, true, "");
    case KnownList::kOld:
      break;
  }
  std::string hosts;
  for (const int box : first_boxes_) append(hosts, entry(box, BoxState::kReady, node));
  if (hosts.empty()) return list(node);
  return object(0, true, hosts);
}

std::size_t Registry::call_begins(int node) {
  if (calls_.empty()) {
    for (const auto& [box, entry_now] : entries_) first_boxes_.push_back(box);
  }
  calls_.push_back({.node = node, .begun = clock_now()});
  return calls_.size() - 1;
}

void Registry::wrote(int node, int box, BoxState state) { told_.push_back({node, box, state, clock_now()}); }

void Registry::publish(int box, BoxState state) {
  Entry& entry = entries_[box];
  entry.state = state;
  entry.version = ++version_;
  had_.push_back({box, state, clock_now()});
  if (empty_) return;
  const Sessions sessions = sessions_;
  for (const auto& session : sessions) {
    if (session->watching()) session->tell(one(session->node(), box, state));
  }
}

void Registry::unreachable(bool on) {
  if (on) return outages_.push_back({.from = clock_now()});
  if (!outages_.empty()) outages_.back().to = clock_now();
}

void Registry::down(bool on) {
  if (on == down_) return;
  down_ = on;
  unreachable(on);
  error_code ignored;
  for (std::size_t n = 0; n < acceptors_.size(); ++n) {
    if (on) {
      acceptors_[n]->close(ignored);
    } else {
      listen(static_cast<int>(n));
    }
  }
  const Sessions sessions = sessions_;
  if (!on) return;
  for (const auto& session : sessions) session->close();
}

void Registry::restart() {
  // It has lost its numbers and counts on from few: what nodes ask from is then far ahead of it.
  version_ = 1;
  oldest_ = 0;
  for (auto& [box, entry] : entries_) entry.version = 1;
  const Sessions sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

void Registry::lie_empty(bool on) {
  empty_ = on;
  ++version_;
  const Sessions sessions = sessions_;
  for (const auto& session : sessions) {
    if (session->watching()) session->tell(whole(session->node()));
  }
}

void Registry::befall(const std::string& fault, Millis latency, bool on) {
  const Sessions sessions = sessions_;
  if (fault == "crowded") trouble_.refuses = on;
  if (fault == "slow") trouble_.latency = on ? latency : 0;
  if (fault == "trickle") trouble_.trickles = on;
  if (fault == "cut") trouble_.cuts = on;
  if (fault == "ends") trouble_.ends = on;
  if (fault == "loses") trouble_.loses = on;
  if (fault == "unreadable") trouble_.unreadable = on;
  if (const auto damage = list_damage(fault)) trouble_.damage = on ? *damage : ListDamage();
  if (fault == "unavailable") {
    trouble_.unavailable = on;
    trouble_.latency = on ? latency : 0;
    unreachable(on);
  }
  if (!on) return;
  for (const auto& session : sessions) {
    if (fault == "silent") session->fall_silent();
    if (fault == "reset" || (fault == "unavailable" && session->watching())) session->reset();
  }
}

void Registry::collect(Run& run) const {
  run.told.insert(run.told.end(), told_.begin(), told_.end());
  run.had.insert(run.had.end(), had_.begin(), had_.end());
  run.list_calls.insert(run.list_calls.end(), calls_.begin(), calls_.end());
  run.outages.insert(run.outages.end(), outages_.begin(), outages_.end());
  run.lists_pushed = !spec_.asked;
  run.ask_every = spec_.ask_every;
  run.lists_recorded = true;
}

}  // namespace shorelead::lab
