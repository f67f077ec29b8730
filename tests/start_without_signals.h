// Starts a thread of a test's peer that never receives the signals a test sends to its own process.
#pragma once

#include <csignal>
#include <thread>
#include <utility>

namespace shorelead::node {

// The thread inherits the mask and so blocks all signals from the start. If it set the mask itself, a signal
// that came before its first instruction would be delivered to it and end the process.
template <typename Run>
std::thread start_without_signals(Run run) {
  sigset_t all_signals;
  sigset_t before;
  sigfillset(&all_signals);
  ::pthread_sigmask(SIG_SETMASK, &all_signals, &before);
  std::thread thread(std::move(run));
  ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return thread;
}

}  // namespace shorelead::node
