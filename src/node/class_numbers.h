// The module's settings over reloads: classes keep the numbers that they ever had, new ones stand behind
// them. Owns the settings in force with all of these; it must never take one class for another.
//
// On sockets a full table of connections is told by an answer (503, never processed): a connection that is
// turned down, or given up early, is a process that died or a way that is cut.
#pragma once

#include <string>
#include <vector>

#include "settings/settings.h"

namespace shorelead::node {

class ClassNumbers {
 public:
  ClassNumbers(const Settings& settings, const HostSettings& host)
      : settings_(settings), names_(host.classes) {
    settings_.reports_full_table = true;
  }

  const Settings& settings() const { return settings_; }
  // New settings; says the number that each of their classes has here.
  std::vector<int> adopt(const Settings& settings, const HostSettings& host) {
    Settings next = settings;
    next.classes = settings_.classes;
    for (RequestClass& one : next.classes) one.in_force = false;
    std::vector<int> numbers;
    for (std::size_t n = 0; n < settings.classes.size(); ++n) {
      std::size_t at = 0;
      while (at < next.classes.size() &&
             (names_[at] != host.classes[n] || !same(next.classes[at], settings.classes[n])))
        ++at;
      if (at == next.classes.size()) {
        next.classes.push_back(settings.classes[n]);
        names_.push_back(host.classes[n]);
      }
      next.classes[at].in_force = true;
      numbers.push_back(static_cast<int>(at));
    }
    settings_ = next;
    settings_.reports_full_table = true;
    return numbers;
  }

 private:
  static bool same(RequestClass before, const RequestClass& now) {
    before.in_force = now.in_force;
    return before == now;
  }

  Settings settings_;
  std::vector<std::string> names_;
};

}  // namespace shorelead::node
