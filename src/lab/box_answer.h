// How an answer leaves a box on a link that may hurt it: whole, twice, in drips, cut, or as noise. Owns those
// ways; it must never choose whether an answer is hurt, nor what the ledger says ran.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/millis.h"
#include "lab/records.h"

namespace shorelead::lab {

struct World;

// A connection as an answer needs it. Nothing is called back once it has ended.
class Wire {
 public:
  virtual ~Wire() = default;
  virtual void write(std::string text, std::function<void()> done) = 0;
  virtual void wait(Millis time, std::function<void()> task) = 0;
  virtual void next() = 0;   // the answer is out
  virtual void shut() = 0;   // no more comes
  virtual void reset() = 0;  // at once
};

// `fault` as in Action::fault, or empty; `bytes` of it pass where it is cut.
void pass_answer(const std::shared_ptr<Wire>& wire, World& world, std::size_t line, const std::string& text,
                 const std::string& fault, std::size_t bytes);

}  // namespace shorelead::lab
