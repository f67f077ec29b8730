// Runs a step of a request's handling that may throw, for example for lack of memory. An exception is logged,
// and then the owner of the request is notified, so that the client still gets a response.
#pragma once

#include <spdlog/spdlog.h>

#include <exception>

#include "policy/policy.h"

namespace shorelead::node {

template <typename Step, typename OnFailure>
void guarded(RequestId request, Step step, OnFailure on_failure) {
  try {
    step();
  } catch (const std::exception& error) {
    spdlog::error("request {} failed within this node: {}", request, error.what());
    on_failure();
  }
}

}  // namespace shorelead::node
