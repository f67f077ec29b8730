// What tells nodes of boxes, whatever its protocol: what the stand-ins' world and the auditor need of it.
// Owns no code; it must never know how it is asked.
#pragma once

#include <string>
#include <vector>

#include "lab/records.h"

namespace shorelead::lab {

class ListSource {
 public:
  virtual ~ListSource() = default;

  // From now on the list says so.
  virtual void publish(int box, BoxState state) = 0;
  virtual std::string dial(int node) const = 0;  // one address, or several with blanks between
  virtual std::string list(int node) const = 0;  // whole, in discovery's form

  virtual void down(bool on) = 0;
  virtual void restart() = 0;  // it comes back with less than it knew
  virtual void lie_empty(bool on) = 0;
  // Another trouble of those that a source may know, from now on or no longer.
  virtual void befall(const std::string& /*fault*/, Millis /*latency*/, bool /*on*/) {}
  virtual std::string known(int node) const { return list(node); }        // what a node is given at its start
  virtual std::string second_dial(int node) const { return dial(node); }  // the same under another address

  virtual const std::vector<Told>& told() const = 0;
  virtual void collect(Run& run) const { run.told.insert(run.told.end(), told().begin(), told().end()); }
};

}  // namespace shorelead::lab
