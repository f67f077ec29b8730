// Passes the latest value from one writer thread to one reader thread by exchanging a pointer, lock-free and
// wait-free for the reader's check. The reader never frees memory: it returns its previous item, which the
// writer frees. Owns all items. The reader never sees a value older than one it has seen.
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

  // Writer thread. Replaces a value that the reader has not taken.
  void put(T value) {
    auto next = std::make_unique<Item>(Item{std::move(value), nullptr});
    delete latest_.exchange(next.release(), std::memory_order_acq_rel);
    free_returned();
  }

  // Reader thread: makes a newer value `current`, if there is one. Only a load if there is none.
  bool take() {
    if (latest_.load(std::memory_order_relaxed) == nullptr) return false;
    Item* const taken = latest_.exchange(nullptr, std::memory_order_acquire);
    if (taken == nullptr) return false;
    if (current_ != nullptr) give_back(current_);
    current_ = taken;
    return true;
  }
  // Reader thread: the value last taken; null before the first.
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
  Item* current_ = nullptr;  // used by the reader only
};

}  // namespace shorelead::fleet
