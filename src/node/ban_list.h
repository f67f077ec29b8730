// Backends that an operator has taken out (banned). Owns the current set, the file through which the
// processes of one node share it, and the admin calls that change it. A call is acknowledged only once the
// file holds the change, so that the next process knows it.
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
  // `is_listed`: whether a current list holds this backend; `on_changed`: called after the set has changed.
  BanList(Loop& loop, std::function<bool(const std::string&)> is_listed, std::function<void()> on_changed)
      : loop_(loop), is_listed_(std::move(is_listed)), on_changed_(std::move(on_changed)) {}
  ~BanList() { loop_.cancel(poll_timer_); }
  BanList(const BanList&) = delete;
  BanList& operator=(const BanList&) = delete;

  void use_file(const std::string& path);  // shares the set with other processes of the node
  const manage::BanSet& bans() const { return bans_; }
  // Whether the file, if there is one, has been read; before that, banned backends may be unknown.
  bool file_read() const { return !file_ || file_read_; }
  std::string change(const manage::Call& call);  // disable or enable; returns the response

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
  std::set<std::string> unsaved_;  // banned in this process only, as writing failed
  std::string logged_cause_;       // the last error of the file that was logged
  bool file_read_ = false;         // at least once
  Millis next_save_ = 0;           // when unsaved_ is written again
  Loop::TimerId poll_timer_ = 0;
};

}  // namespace shorelead::node
