#include "node/saved_list_copy.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kKeepEvery = 5000;  // shortest time between two writes

}  // namespace

SavedListCopy::SavedListCopy(Loop& loop, std::string path, std::string pool, const membership::View& view)
    : loop_(loop), path_(std::move(path)), pool_(std::move(pool)), view_(view), writer_(path_) {}

SavedListCopy::~SavedListCopy() { loop_.cancel(write_at_); }

std::optional<List> SavedListCopy::load() const {
  std::string cause;
  const auto kept = membership::load_saved_list(path_, cause);
  if (!kept) {
    if (!cause.empty()) spdlog::error("pool {}: {} is not used: {}", pool_, path_, cause);
    return std::nullopt;
  }
  spdlog::info("pool {}: starts from {}: {} boxes, {:.0f} s old", pool_, path_, kept->members.size(),
               (loop_.now() - loop_.from_wall(kept->written)) / 1000);
  List list;
  list.whole = true;
  list.backends = kept->members;
  return list;
}

void SavedListCopy::changed() {
  changed_ = true;
  write_later();
}

// Not for each change: disks are slow, and a list some seconds old is good enough.
void SavedListCopy::write_later() {
  if (write_at_ != 0) return;
  write_at_ = loop_.after(kKeepEvery, [this] {
    write_at_ = 0;
    if (const auto trouble = writer_.trouble())
      spdlog::error("pool {}: the list is not kept: {}", pool_, *trouble);
    if (!std::exchange(changed_, false)) return;
    if (writer_.busy()) {
      changed_ = true;
    } else {
      writer_.keep(membership::saved_list_text(view_.members(), loop_.to_wall(loop_.now())));
    }
    write_later();
  });
}

}  // namespace shorelead::node
