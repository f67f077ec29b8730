// Saves a pool's list to a file, for a start while no source answers. Owns the file's writer and its timing;
// it does not judge how old a saved list may be.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "membership/saved_list.h"
#include "membership/view.h"
#include "node/endpoint_list.h"
#include "node/net.h"

namespace shorelead::node {

class SavedListCopy {
 public:
  // `view`: the members to save; it must outlive this object.
  SavedListCopy(Loop& loop, std::string path, std::string pool, const membership::View& view);
  ~SavedListCopy();
  SavedListCopy(const SavedListCopy&) = delete;
  SavedListCopy& operator=(const SavedListCopy&) = delete;

  std::optional<List> load() const;  // the whole saved list; nothing if there is none or it is unusable
  void changed();                    // the view has changed; it is written soon

 private:
  void schedule_write();

  Loop& loop_;
  const std::string path_;
  const std::string pool_;  // the pool's name, for the log
  const membership::View& view_;
  membership::SavedListWriter writer_;
  bool changed_ = false;
  Loop::TimerId write_timer_ = 0;
};

}  // namespace shorelead::node
