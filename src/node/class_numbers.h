// Keeps class numbers stable over reloads, so that open requests and statistics keep their class: a class
// that is unchanged keeps its number, a new or changed one is appended, a removed one stays and is marked as
// not in force. Owns the decision module's settings with all these classes.
//
// Sets `full_tables_answer`: a backend whose connection table is full answers with 503 and has not processed
// the request, so a connection that is refused or closed early means a dead process or a broken network path.
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
  // Applies new settings; returns the number of each of their classes.
  std::vector<int> adopt(const Settings& settings, const HostSettings& host) {
    Settings next = settings;
    next.classes = settings_.classes;
    for (RequestClass& request_class : next.classes) request_class.in_force = false;
    std::vector<int> numbers;
    for (std::size_t n = 0; n < settings.classes.size(); ++n) {
      std::size_t at = 0;
      while (at < next.classes.size() &&
             (names_[at] != host.classes[n] || !same_definition(next.classes[at], settings.classes[n])))
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
  static bool same_definition(RequestClass before, const RequestClass& now) {
    before.in_force = now.in_force;
    return before == now;
  }

  Settings settings_;
  std::vector<std::string> names_;
};

}  // namespace shorelead::node
