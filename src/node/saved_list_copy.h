// A pool's copy of its last list in a file, for a start while nobody tells one. Owns the file's writer and
// when it writes; it must never judge how old a copy may be.
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
  // `view`: what is kept, and outlives this.
  SavedListCopy(Loop& loop, std::string path, std::string pool, const membership::View& view);
  ~SavedListCopy();
  SavedListCopy(const SavedListCopy&) = delete;
  SavedListCopy& operator=(const SavedListCopy&) = delete;

  std::optional<List> load() const;  // whole; none where there is none, or it cannot be used
  void changed();                    // the view has: it is written soon

 private:
  void write_later();

  Loop& loop_;
  const std::string path_;
  const std::string pool_;  // its name, for the log
  const membership::View& view_;
  membership::SavedListWriter writer_;
  bool changed_ = false;
  Loop::TimerId write_at_ = 0;
};

}  // namespace shorelead::node
