// Who may get something new by the lists and the calls that came, as the checker knows it: a record apart
// from the one that decisions are made by. Owns one entry a backend; it must never be asked before something
// is sent.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "base/list_validity.h"

namespace shorelead::guard {

class ListedRecord {
 public:
  // A list came, whole or changes alone: its entries follow.
  void list_begins(bool whole) {
    if (!whole) return;
    std::erase_if(checked_, [this](const auto& one) { return ready_.find(one.first) == ready_.end(); });
    ready_.clear();
  }
  void listed(std::string_view host, bool ready) {
    const auto found = ready_.find(host);
    if (ready && found == ready_.end()) ready_.emplace(host);
    if (!ready && found != ready_.end()) ready_.erase(found);
  }
  // Out by hand from now on: these, and no others.
  void out_by_hand_begins() { out_by_hand_.clear(); }
  void out_by_hand(std::string host) { out_by_hand_.insert(std::move(host)); }

  // For how long the list may be acted on, and the health checks that let one be used beyond that.
  void validity(const ListValidity& validity) { validity_ = validity; }
  void confirmed(const std::string& host, Millis sent) { checked_[host].passed(sent); }
  void denied(const std::string& host) { checked_[host].failed(); }

  bool withdrawn(std::string_view host, Millis now) const {
    if (ready_.find(host) == ready_.end() || out_by_hand_.find(host) != out_by_hand_.end()) return true;
    if (now < validity_.until) return false;
    const auto checked = checked_.find(host);
    return checked == checked_.end() || !checked->second.within(validity_, now);
  }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  using Hosts = std::unordered_set<std::string, Hash, std::equal_to<>>;

  Hosts ready_;
  Hosts out_by_hand_;
  std::unordered_map<std::string, LastConfirmation, Hash, std::equal_to<>> checked_;
  ListValidity validity_;
};

}  // namespace shorelead::guard
