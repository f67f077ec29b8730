#include "node/hot_restart.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kCheckInterval = 10;  // of whether this process can serve

}  // namespace

HotRestart::HotRestart(Loop& loop, RestartContext context, Host host)
    : loop_(loop), context_(std::move(context)), host_(std::move(host)) {}

HotRestart::~HotRestart() { loop_.cancel(check_timer_); }

void HotRestart::begin() {
  if (!context_.inherited) return wait_for_successor();
  const auto on_reserve_transferred = [this](bool ended, Millis remaining) {
    host_.take_reserve(remaining);
    if (!ended) return;
    spdlog::info("the predecessor has ended");
    host_.on_process_count_changed();
  };
  handover_client_ =
      std::make_unique<handover::HandoverClient>(loop_, context_.inherited->channel, on_reserve_transferred);
  host_.hold_clients(true);
  check_can_serve();
}

bool HotRestart::two_processes_run() const {
  return (handover_server_ && handover_server_->has_successor()) ||
         (handover_client_ && handover_client_->predecessor_alive());
}

void HotRestart::check_can_serve() {
  if (!host_.can_serve()) {
    check_timer_ = loop_.after(kCheckInterval, [this] { check_can_serve(); });
    return;
  }
  spdlog::info("accepting clients in place of the predecessor");
  host_.hold_clients(false);
  handover_client_->announce_serving();
  wait_for_successor();
}

void HotRestart::wait_for_successor() {
  if (standalone()) return;
  handover::HandoverServer::Listener listener;
  listener.listener = host_.listener;
  listener.list = host_.list;
  listener.refusal = [this] {
    if (host_.shutting_down()) return std::string("it is about to end");
    return two_processes_run() ? std::string("two processes run already") : std::string();
  };
  listener.successor_came = [this] {
    spdlog::info("a successor has received the listening socket and the list");
    host_.on_successor_connected();
  };
  listener.successor_serves = [this] { successor_serves(); };
  listener.successor_gone = [this] { successor_gone(); };
  try {
    handover_server_ =
        std::make_unique<handover::HandoverServer>(loop_, context_.socket_path(), std::move(listener));
  } catch (const std::exception& error) {
    spdlog::warn("hot restart is not available: {}", error.what());
  }
}

void HotRestart::successor_serves() {
  if (std::exchange(replaced_, true)) return;
  spdlog::info("the successor now accepts clients");
  handover_server_->transfer_reserve(host_.give_reserve());
  host_.hold_clients(true);
  host_.on_replaced();
}

void HotRestart::successor_gone() {
  spdlog::warn("the successor has ended{}", replaced_ ? ", accepting clients again" : " before it served");
  host_.on_process_count_changed();
  host_.take_reserve(0);
  if (std::exchange(replaced_, false) && host_.resume()) host_.hold_clients(false);
}

}  // namespace shorelead::node
