// Backends that are out by hand: the set in force, the file by which the processes of one node share it, and
// the operators' calls that change it. Owns these; it must never know what a ban does, nor say that a call is
// carried out which the next process would not know of.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "handover/ban_file.h"
#include "manage/bans.h"
#include "manage/calls.h"
#include "node/net.h"

namespace shorelead::node {

class BanList {
 public:
  // `listed`: whether a list names this backend now; `changed`: called when the set is another.
  BanList(Loop& loop, std::function<bool(const std::string&)> listed, std::function<void()> changed)
      : loop_(loop), listed_(std::move(listed)), changed_(std::move(changed)) {}
  ~BanList() { loop_.cancel(look_); }
  BanList(const BanList&) = delete;
  BanList& operator=(const BanList&) = delete;

  void share(const std::string& path);  // with other processes, by this file
  const manage::BanSet& bans() const { return bans_; }
  // Whether the file has been read, where there is one: until then backends may be out of which nothing is
  // known.
  bool known() const { return !file_ || known_; }
  std::string change(const manage::Call& call);  // disable or enable; the answer

 private:
  void look();
  void keep_what_is_not_kept();
  std::string disable(const std::string& id);
  std::string enable(const std::string& id);
  handover::BanFile::Changed apply(const std::function<void(manage::BanSet&)>& change);
  void put_in_force(const manage::BanSet& bans);

  Loop& loop_;
  const std::function<bool(const std::string&)> listed_;
  const std::function<void()> changed_;
  manage::BanSet bans_;
  std::unique_ptr<handover::BanFile> file_;
  std::set<std::string> not_kept_;  // out in this process alone, as the file could not be written
  std::string told_cause_;          // of trouble with the file, in the log already
  bool known_ = false;              // ever
  Millis keep_at_ = 0;              // when that is tried again
  Loop::TimerId look_ = 0;
};

}  // namespace shorelead::node
