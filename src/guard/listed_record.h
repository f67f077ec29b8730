// The checker's own record of which backends may get new requests, built from the lists, the operators' calls
// and what was heard of discovery. Separate from the record that decisions are based on. Not to be used for
// decisions. Owns one entry for each backend.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "base/list_validity.h"
#include "guard/discovery_record.h"

namespace shorelead::guard {

class ListedRecord {
 public:
  // A list has arrived; calls of listed() for its entries follow. `full`: it is complete, not a list of
  // changes.
  void begin_list(bool full) {
    if (full) ready_.clear();
  }
  void listed(std::string_view host, bool ready) {
    const auto found = ready_.find(host);
    if (ready && found == ready_.end()) ready_.emplace(host);
    if (!ready && found != ready_.end()) ready_.erase(found);
  }
  // Backends out of service by the operator's order: replaces the previous ones.
  void clear_out_of_service() { out_of_service_.clear(); }
  void add_out_of_service(std::string host) { out_of_service_.insert(std::move(host)); }

  void set_validity(const ListValidity& validity) { validity_ = validity; }
  Millis valid_until() const { return validity_.until; }
  void discovery(const DiscoverySign& sign) { discovery_.note(sign); }

  bool withdrawn(std::string_view host, Millis now) const {
    const bool listed = ready_.find(host) != ready_.end();
    return !listed || out_of_service_.find(host) != out_of_service_.end() || now >= validity_.until ||
           discovery_.may_be_bound(now);
  }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  using Hosts = std::unordered_set<std::string, Hash, std::equal_to<>>;

  Hosts ready_;
  Hosts out_of_service_;
  ListValidity validity_;
  DiscoveryRecord discovery_;
};

}  // namespace shorelead::guard
