#include "node/request_ids.h"

#include <functional>

namespace shorelead::node {
namespace {

std::uint64_t hash_of(std::string_view id) { return std::hash<std::string_view>()(id); }

}  // namespace

void RecentIds::add(std::string_view id) {
  if (!hashes_.insert(hash_of(id)).second) return;
  order_.push_back(hash_of(id));
  if (order_.size() <= capacity_) return;
  hashes_.erase(order_.front());
  order_.pop_front();
}

bool RecentIds::contains(std::string_view id) const { return hashes_.contains(hash_of(id)); }

RequestIds::Verdict RequestIds::open(std::string_view id) {
  if (unserved_.contains(id) || served_.contains(id)) return Verdict::kMayHaveRun;
  return open_.emplace(id).second ? Verdict::kNew : Verdict::kOpen;
}

void RequestIds::close(std::string_view id, End end) {
  open_.erase(std::string(id));
  if (end == End::kServed) served_.add(id);
  if (end == End::kMayHaveRun) unserved_.add(id);
}

}  // namespace shorelead::node
