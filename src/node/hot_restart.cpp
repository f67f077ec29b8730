#include "node/hot_restart.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kLookEvery = 10;  // whether it could serve

}  // namespace

HotRestart::HotRestart(Loop& loop, Place place, Host host)
    : loop_(loop), place_(std::move(place)), host_(std::move(host)) {}

HotRestart::~HotRestart() { loop_.cancel(look_); }

void HotRestart::begin() {
  if (!place_.inherited) return wait_for_successor();
  const auto ceded = [this](bool ended, Millis still) {
    host_.take_reserve(still);
    if (!ended) return;
    spdlog::info("the process before this one has ended");
    host_.two_or_one();
  };
  predecessor_ = std::make_unique<handover::Successor>(loop_, place_.inherited->channel, ceded);
  host_.hold(true);
  look_if_it_could_serve();
}

bool HotRestart::two_run() const {
  return (successors_ && successors_->has_successor()) || (predecessor_ && predecessor_->predecessor_lives());
}

void HotRestart::look_if_it_could_serve() {
  if (!host_.could_serve()) {
    look_ = loop_.after(kLookEvery, [this] { look_if_it_could_serve(); });
    return;
  }
  spdlog::info("takes clients from now on, in place of the process before it");
  host_.hold(false);
  predecessor_->say_serving();
  wait_for_successor();
}

void HotRestart::wait_for_successor() {
  if (alone()) return;
  handover::Predecessor::Listener listener;
  listener.listener = host_.listener;
  listener.list = host_.list;
  listener.refusal = [this] {
    if (host_.leaving()) return std::string("it is about to end");
    return two_run() ? std::string("two processes run already") : std::string();
  };
  listener.successor_came = [this] {
    spdlog::info("a successor has come, with the listening socket and the list");
    host_.came();
  };
  listener.successor_serves = [this] { successor_serves(); };
  listener.successor_gone = [this] { successor_gone(); };
  try {
    successors_ = std::make_unique<handover::Predecessor>(loop_, place_.socket(), std::move(listener));
  } catch (const std::exception& error) {
    spdlog::warn("no successor can be handed anything: {}", error.what());
  }
}

void HotRestart::successor_serves() {
  if (std::exchange(replaced_, true)) return;
  spdlog::info("the successor takes clients from now on");
  successors_->cede(host_.give_reserve());
  host_.hold(true);
  host_.replaced();
}

void HotRestart::successor_gone() {
  spdlog::warn("the successor has ended{}",
               replaced_ ? ", this process takes clients again" : " before it served");
  host_.two_or_one();
  host_.take_reserve(0);
  if (std::exchange(replaced_, false) && host_.resume()) host_.hold(false);
}

}  // namespace shorelead::node
