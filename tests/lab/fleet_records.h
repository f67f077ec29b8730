// Records written by hand for the auditor's tests: requests, attempts and pauses of a run of three processes.
// Owns shapes of tests only.
#pragma once

#include "lab/records.h"

namespace shorelead::lab {

inline constexpr int kCheck = 0;
inline constexpr int kLook = 1;

inline Run empty_run() {
  Run run;
  run.classes = {{"check", Effect::kSafe, Group::kAll, 0, 400, 5000, 1},
                 {"look", Effect::kSafe, Group::kAll, 0, 400, 5000, 1}};
  run.boxes = {{"s-0", 0, 0, 0}, {"s-1", 0, 0, 0}, {"s-2", 0, 0, 0}};
  run.node_count = 3;
  for (int node = 0; node < 3; ++node) run.nodes.push_back({node, NodeDid::kStarted, 1, 0});
  return run;
}

// A request sent at `at` by way of a node; at a box a millisecond later for 20 ms, unless `box` is -1: then
// it is refused.
inline Asked& ask(Run& run, Millis at, int node, int box, int request_class = kCheck) {
  Asked asked;
  asked.id = std::string("r").append(std::to_string(run.asked.size()));
  asked.request_class = request_class;
  asked.node = node;
  asked.intended = asked.sent = at;
  asked.due = at + 5000;
  asked.ended = at + (box < 0 ? 2 : 22);
  asked.end = ClientEnd::kAnswered;
  asked.status = box < 0 ? 503 : 200;
  if (box >= 0) {
    Arrived arrived;
    arrived.serial = run.arrived.size() + 1;
    arrived.id = asked.id;
    arrived.request_class = request_class;
    arrived.box = box;
    arrived.node = node;
    arrived.first_byte = arrived.last_byte = at + 1;
    arrived.began = at + 1;
    arrived.answered = at + 21;
    arrived.end = BoxEnd::kServed;
    run.arrived.push_back(arrived);
    asked.right_body = true;
    asked.run = arrived.serial;
  }
  run.asked.push_back(asked);
  return run.asked.back();
}

// One more attempt of the last request: the one before was turned away when it came.
inline void again(Run& run, int box) {
  Arrived next = run.arrived.back();
  run.arrived.back().end = BoxEnd::kRejected;
  run.arrived.back().began = 0;
  run.arrived.back().answered = run.arrived.back().first_byte;
  next.serial += 1;
  next.box = box;
  next.first_byte = next.last_byte = next.began = next.first_byte + 1;
  run.arrived.push_back(next);
  run.asked.back().run = next.serial;
}

inline void pause(Run& run, int node, Millis from, Millis to) {
  run.nodes.push_back({node, NodeDid::kPaused, from, 0});
  run.nodes.push_back({node, NodeDid::kWentOn, to, 0});
}

}  // namespace shorelead::lab
