// Records a pool's request and list events with the node's recorder, and keeps for the checker an independent
// record of which backends may receive new requests, derived only from lists, their validity and bans. The
// policy does not read that record.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>
#include <utility>

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
    version_ = list.version;
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
  void discovery(const guard::DiscoverySign& sign) {
    listed_.discovery(sign);
    if (sign.kind != guard::DiscoverySign::Kind::kMessage) return;
    heard_at_ = sign.at;
    quiet_logged_ = false;
  }
  bool withdrawn(const std::string& host, Millis now) const { return listed_.withdrawn(host, now); }

  void request(RequestId request, const Settings& settings, const RequestInfo& info) {
    const Millis due = info.body_pending ? guard::kNever : info.due;
    recorder_->ruled(request, checked_rules(settings, info.request_class, due));
  }
  void body_complete(RequestId request, Millis due) { recorder_->due(request, due); }
  void handler_threw(RequestId request) { recorder_->handler_threw(request); }
  void decided(const Choice& choice, const std::string& host, Millis now) {
    log_quiet_discovery(now);
    recorder_->attempt_decided(choice.request, choice.attempt, host, choice.backend,
                               listed_.valid_until() - now);
  }
  void refused(RequestId request, Millis now) { recorder_->refused(request, listed_.valid_until() <= now); }

 private:
  // Discovery sends a keep-alive every 2 s, so that a longer silence means that no watch is alive.
  static constexpr Millis kQuietLimit = 2500;

  // Logs once in each silence of discovery that requests go on by the list from before it.
  void log_quiet_discovery(Millis now) {
    if (heard_at_ == 0 || now - heard_at_ < kQuietLimit || std::exchange(quiet_logged_, true)) return;
    spdlog::info("requests go by list {}, valid for {:.2f} s, though discovery was last heard {:.2f} s ago",
                 version_, (listed_.valid_until() - now) / 1000, (now - heard_at_) / 1000);
  }

  const RecorderHandle recorder_;
  guard::ListedRecord listed_;
  std::uint64_t version_ = 0;  // of the last list
  Millis heard_at_ = 0;        // last message of discovery; 0 = none yet
  bool quiet_logged_ = false;  // since then
};

}  // namespace shorelead::node
