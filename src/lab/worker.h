// An io_context with a thread of its own, for one side of a run. Owns the thread; what a handler throws comes
// out where its owner waits.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <exception>
#include <future>
#include <memory>
#include <thread>

namespace shorelead::lab {

// To sleep and be woken costs a millisecond now and then, which would be taken for the node's.
inline void work(boost::asio::io_context& context, bool spin) {
  if (!spin) {
    context.run();
    return;
  }
  while (!context.stopped()) context.poll();
}

class Worker {
 public:
  Worker() : guard_(boost::asio::make_work_guard(context)) {}
  ~Worker() { stop(); }
  // Its thread is gone after this, and what it used may go.
  void stop() {
    context.stop();
    if (thread_.joinable()) thread_.join();
  }
  void start(bool spin) {
    thread_ = std::thread([this, spin] {
      try {
        work(context, spin);
      } catch (...) {
        error_ = std::current_exception();
        failed = true;
      }
    });
  }
  // Does it in that thread and waits for it.
  template <typename Task>
  void with(Task task) {
    auto promise = std::make_shared<std::promise<void>>();
    std::future<void> done = promise->get_future();
    boost::asio::post(context, [promise, task = std::move(task)]() mutable {
      try {
        task();
        promise->set_value();
      } catch (...) {
        promise->set_exception(std::current_exception());
      }
    });
    while (done.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready) rethrow();
    done.get();
  }
  void rethrow() {
    if (failed) std::rethrow_exception(error_);
  }

  boost::asio::io_context context{1};
  std::atomic<bool> failed{false};

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::thread thread_;
  std::exception_ptr error_;
};

// Stops threads before what they use goes; to be declared after that.
struct Stop {
  Worker& first;
  Worker& second;
  ~Stop() {
    first.stop();
    second.stop();
  }
};

}  // namespace shorelead::lab
