#include "node/saved_list_copy.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kWriteInterval = 5000;  // shortest time between two writes

}  // namespace

SavedListCopy::SavedListCopy(Loop& loop, std::string path, std::string pool, const membership::View& view)
    : loop_(loop), path_(std::move(path)), pool_(std::move(pool)), view_(view), writer_(path_) {}

SavedListCopy::~SavedListCopy() { loop_.cancel(write_timer_); }

std::optional<List> SavedListCopy::load() const {
  std::string cause;
  const auto saved = membership::load_saved_list(path_, cause);
  if (!saved) {
    if (!cause.empty()) spdlog::error("pool {}: the saved list {} is not used: {}", pool_, path_, cause);
    return std::nullopt;
  }
  spdlog::info("pool {}: starting from the saved list {}: {} backends, {:.0f} s old", pool_, path_,
               saved->members.size(), (loop_.now() - loop_.from_wall(saved->written)) / 1000);
  List list;
  list.whole = true;
  list.backends = saved->members;
  return list;
}

void SavedListCopy::changed() {
  changed_ = true;
  schedule_write();
}

// Not for each change: disks are slow, and a list some seconds old is good enough.
void SavedListCopy::schedule_write() {
  if (write_timer_ != 0) return;
  write_timer_ = loop_.after(kWriteInterval, [this] {
    write_timer_ = 0;
    if (const auto error = writer_.take_error())
      spdlog::error("pool {}: the list was not saved: {}", pool_, *error);
    if (!std::exchange(changed_, false)) return;
    if (writer_.busy()) {
      changed_ = true;
    } else {
      writer_.write(membership::saved_list_text(view_.members(), loop_.to_wall(loop_.now())));
    }
    schedule_write();
  });
}

}  // namespace shorelead::node
