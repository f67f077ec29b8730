#include "lab/crowd.h"

#include "lab/dial.h"

namespace shorelead::lab {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

// To one node: so many connections, until its time is over.
struct IdleCrowd::Visit {
  Visit(boost::asio::io_context& context, const std::string& dial, int count) : over(context) {
    for (int n = 0; n < count; ++n) {
      sockets.push_back(std::make_shared<tcp::socket>(context));
      const auto socket = sockets.back();
      socket->async_connect(endpoint_of(dial), [socket](const error_code&) {});
    }
  }
  void leave() {
    error_code ignored;
    for (const auto& socket : sockets) socket->close(ignored);
    sockets.clear();
  }

  std::vector<std::shared_ptr<tcp::socket>> sockets;
  Alarm over;
};

IdleCrowd::IdleCrowd(boost::asio::io_context& context, const Front& front)
    : context_(context), front_(front) {}

IdleCrowd::~IdleCrowd() {
  for (const auto& visit : visits_) visit->leave();
}

void IdleCrowd::act(const Action& action) {
  if (action.kind != Action::Kind::kCrowd) return;
  const Millis now = clock_now();
  for (const int node : action.nodes) {
    auto visit =
        std::make_shared<Visit>(context_, front_.addresses[static_cast<std::size_t>(node)], action.count);
    visits_.push_back(visit);
    spans_.push_back({node, now, now + action.length});
    visit->over.at(now + action.length, nullptr, [visit] { visit->leave(); });
  }
}

void IdleCrowd::collect(Run& run) const { run.crowds.insert(run.crowds.end(), spans_.begin(), spans_.end()); }

}  // namespace shorelead::lab
