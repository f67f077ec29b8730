// What passes from a process to the one that replaces it: the listening socket, the list, and who serves. It
// owns the Unix socket at which a successor asks, and the connection between the two. It must never block the
// loop, never let a third process in while two run, and never decide what is done about either's coming or
// going.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "net/watch.h"

namespace shorelead::handover {

// What a predecessor gave.
struct InheritedState {
  int listener = -1;  // the clients' listening socket
  int channel = -1;   // the connection to the predecessor, for Successor
  std::string list;   // backends as it last had them, in discovery's form; may be empty
};

// Asks at `path` before there is a loop; waits for `wait` milliseconds at most. None where nobody is there or
// no whole answer came. Throws std::runtime_error with the reason where a predecessor refuses.
std::optional<InheritedState> ask(const std::string& path, Millis wait);

// The old process's side.
class Predecessor : public net::Watch::Handler {
 public:
  struct Listener {
    std::function<int()> listener;           // the clients' listening socket; -1 = none to give
    std::function<std::string()> list;       // to be handed over
    std::function<std::string()> refusal;    // why none is let in now; empty = let in
    std::function<void()> successor_came;    // and has its inherited state
    std::function<void()> successor_serves;  // from now on
    std::function<void()> successor_gone;
  };

  // Takes the place at `path` from whoever had it. Throws std::system_error.
  Predecessor(net::Loop& loop, std::string path, Listener listener);
  ~Predecessor() override;

  bool has_successor() const { return heir_ != nullptr; }
  // To the successor: what only one of the two may have (a fleet's reserve) is its from now on; what was
  // begun with it here is over after `still`. One of an earlier version does not listen.
  void cede(Millis still);

 private:
  class Heir;

  void on_readable() override;
  void accept_later();
  void lose(Heir& heir);

  net::Loop& loop_;
  const std::string path_;
  Listener listener_;
  std::unique_ptr<net::Descriptor> socket_;
  std::unique_ptr<net::Watch> watch_;
  net::Loop::TimerId resume_ = 0;  // accepting, which was put off
  std::shared_ptr<Heir> heir_;
};

// The new process's side, for as long as the old one lives.
class Successor : public net::Watch::Handler {
 public:
  // What only one of the two may have is this one's: the predecessor says so, once, with how long what it
  // began with it lasts still; or it has ended, and said so or not.
  using Ceded = std::function<void(bool ended, Millis still)>;
  Successor(net::Loop& loop, int channel, Ceded ceded);
  ~Successor() override { loop_.cancel(say_again_); }

  void say_serving();
  bool predecessor_lives() const { return watch_ != nullptr; }

 private:
  void on_readable() override;
  void hear();

  net::Loop& loop_;
  Ceded ceded_;
  std::string said_;
  net::Loop::TimerId say_again_ = 0;
  std::unique_ptr<net::Descriptor> socket_;
  std::unique_ptr<net::Watch> watch_;
};

}  // namespace shorelead::handover
