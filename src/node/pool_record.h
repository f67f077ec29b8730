// Records a pool's request and list events with the node's recorder, and keeps for the checker an independent
// record of which backends may receive new requests, derived only from lists, their validity and bans. The
// policy does not read that record.
#pragma once

#include <spdlog/spdlog.h>

#include "guard/listed_record.h"
#include "manage/bans.h"
#include "node/policy_host.h"
#include "node/recorder.h"
#include "node/request_rules.h"
#include "node/upstream.h"

namespace shorelead::node {

class PoolRecord {
 public:
  explicit PoolRecord(const RecorderHandle& recorder) : recorder_(recorder) {}

  void list(const List& list) {
    listed_.begin_list(list.whole);
    for (const ListedBackend& backend : list.backends) {
      listed_.listed(backend.host, backend.health == "ready");
    }
    recorder_->list(list.version, list.whole);
  }
  void log_withdrawn(std::uint64_t version, const std::string& host) {
    spdlog::info("by list {} no new requests go to {}", version, host);
  }
  void bans(const manage::BanSet& bans) {
    listed_.clear_out_of_service();
    for (const auto& [host, ban] : bans.all()) {
      if (ban.out) listed_.add_out_of_service(host);
    }
  }
  void validity(const ListValidity& validity) { listed_.set_validity(validity); }
  void discovery(const guard::DiscoverySign& sign) { listed_.discovery(sign); }
  bool withdrawn(const std::string& host, Millis now) const { return listed_.withdrawn(host, now); }

  void request(RequestId request, const Settings& settings, const RequestInfo& info) {
    const Millis due = info.body_pending ? guard::kNever : info.due;
    recorder_->ruled(request, checked_rules(settings, info.request_class, due));
  }
  void body_complete(RequestId request, Millis due) { recorder_->due(request, due); }
  void handler_threw(RequestId request) { recorder_->handler_threw(request); }
  void decided(const Choice& choice, const std::string& host, Millis now) {
    recorder_->attempt_decided(choice.request, choice.attempt, host, choice.backend,
                               listed_.valid_until() - now);
  }
  void refused(RequestId request, Millis now) { recorder_->refused(request, listed_.valid_until() <= now); }

 private:
  const RecorderHandle recorder_;
  guard::ListedRecord listed_;
};

}  // namespace shorelead::node
