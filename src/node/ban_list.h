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
  // `is_listed`: whether a list names this backend now; `changed`: called when the set is another.
  BanList(Loop& loop, std::function<bool(const std::string&)> is_listed, std::function<void()> on_changed)
      : loop_(loop), is_listed_(std::move(is_listed)), on_changed_(std::move(on_changed)) {}
  ~BanList() { loop_.cancel(poll_timer_); }
  BanList(const BanList&) = delete;
  BanList& operator=(const BanList&) = delete;

  void use_file(const std::string& path);  // with other processes, by this file
  const manage::BanSet& bans() const { return bans_; }
  // Whether the file has been read, where there is one: until then backends may be out of which nothing is
  // known.
  bool file_read() const { return !file_ || file_read_; }
  std::string change(const manage::Call& call);  // disable or enable; the answer

 private:
  void poll_file();
  void save_unsaved();
  std::string disable(const std::string& id);
  std::string enable(const std::string& id);
  handover::BanFile::Changed apply(const std::function<void(manage::BanSet&)>& change);
  void set_bans(const manage::BanSet& bans);

  Loop& loop_;
  const std::function<bool(const std::string&)> is_listed_;
  const std::function<void()> on_changed_;
  manage::BanSet bans_;
  std::unique_ptr<handover::BanFile> file_;
  std::set<std::string> unsaved_;  // out in this process alone, as the file could not be written
  std::string logged_cause_;       // of trouble with the file, in the log already
  bool file_read_ = false;         // ever
  Millis next_save_ = 0;           // when that is tried again
  Loop::TimerId poll_timer_ = 0;
};

}  // namespace shorelead::node
