// One writer hands one reader the latest of something: by exchange of a pointer, without lock or wait. The
// reader never frees: what it had before it hands back, and the writer frees that. Owns what lies in it on
// either way; it must never let the reader see anything older than it has seen.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace shorelead::fleet {

template <typename T>
class Mailbox {
 public:
  Mailbox() = default;
  ~Mailbox() {
    delete latest_.load(std::memory_order_acquire);
    delete current_;
    free_returned();
  }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // The writer's thread. One that the reader never took is gone.
  void put(T value) {
    auto next = std::make_unique<Item>(Item{std::move(value), nullptr});
    delete latest_.exchange(next.release(), std::memory_order_acq_rel);
    free_returned();
  }

  // The reader's thread: whether there is a newer one than `current`. A load, as long as there is none.
  bool take() {
    if (latest_.load(std::memory_order_relaxed) == nullptr) return false;
    Item* const taken = latest_.exchange(nullptr, std::memory_order_acquire);
    if (taken == nullptr) return false;
    if (current_ != nullptr) give_back(current_);
    current_ = taken;
    return true;
  }
  // The reader's thread: the last one taken, until the next; null before the first.
  const T* current() const { return current_ == nullptr ? nullptr : &current_->value; }

 private:
  struct Item {
    T value;
    Item* next;
  };
  void give_back(Item* item) {
    item->next = returned_.load(std::memory_order_relaxed);
    while (!returned_.compare_exchange_weak(item->next, item, std::memory_order_release,
                                            std::memory_order_relaxed)) {
    }
  }
  void free_returned() {
    Item* item = returned_.exchange(nullptr, std::memory_order_acquire);
    while (item != nullptr) delete std::exchange(item, item->next);
  }

  std::atomic<Item*> latest_{nullptr};
  std::atomic<Item*> returned_{nullptr};
  Item* current_ = nullptr;  // the reader's
};

}  // namespace shorelead::fleet
