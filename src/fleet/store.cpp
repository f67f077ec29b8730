#include "fleet/store.h"

#include <cmath>
#include <utility>
#include <variant>

#include "fleet/boot_clock.h"
#include "fleet/record_reading.h"

namespace shorelead::fleet {

namespace registry = membership::registry;
using registry::Compare;

namespace {

Header fleet_header(const registry::Header& header) { return {header.cluster, header.revision}; }

}  // namespace

Store::Store(net::Loop& loop, const StoreSpec& spec, const Sharing& sharing, std::uint64_t seed,
             Listener listener)
    : sharing_(sharing),
      planner_key_(planner_key(sharing)),
      plan_key_(plan_key(sharing)),
      members_(members_prefix(sharing)),
      listener_(std::move(listener)),
      connections_(loop, spec, [this](const std::string& text) { listener_.trouble(text); }),
      watch_(loop, connections_, sharing, seed,
             {[this](const PlanSeen& seen) { listener_.member(seen); },
              [this](const PlannerSeen& seen) { listener_.planner(seen); },
              [this](const Header& header, Millis begun, bool latest) {
                const Header effective = effective_header(header, begun, latest);
                listener_.member(HeaderObserved{effective, begun});
                listener_.planner(HistoryObserved{effective, begun});
                return effective;
              },
              [this](const std::string& text) { listener_.trouble(text); }}) {}

void Store::carry_out(const MemberCall& call) {
  std::visit([this](const auto& one) { begin_call(one); }, call);
}
void Store::carry_out(const PlannerCall& call) {
  std::visit([this](const auto& one) { begin_call(one); }, call);
}

// Returns the effective header of an answer; restarts the watch if a history was lost.
Header Store::effective_header(const Header& header, Millis begun, bool whole) {
  const LatestHeader::EffectiveHeader effective = latest_.observe(header, begun, whole, boot_now());
  if (effective.lost) watch_.restart();
  return effective.header;
}

void Store::post(const std::string& path, const std::string& body,
                 std::function<void(Reply, Millis begun)> done) {
  ++counters_.calls;
  const Millis begun = boot_now();
  connections_.post(path, body, call_within(sharing_),
                    [begun, done = std::move(done)](Reply reply) { done(std::move(reply), begun); });
}

registry::Refusal Store::refusal(const Reply& reply) {
  ++counters_.lost;
  if (reply.status == 0) return {};
  ++counters_.refused;
  const registry::Refusal refusal = registry::parse_refusal(reply.body);
  listener_.trouble("the store answered with status " + std::to_string(reply.status) + ": " + refusal.text);
  return refusal;
}

void Store::txn(registry::Txn txn, Answered answered, Failed failed) {
  const std::string body = registry::txn_request(txn);
  post("/v3/kv/txn", body,
       [this, txn = std::move(txn), answered = std::move(answered), failed = std::move(failed)](
           Reply reply, Millis begun) {
         if (reply.status != 200) return failed(refusal(reply));
         std::string cause;
         const auto answer = registry::parse_txn(txn, std::move(reply.body), cause);
         if (answer) return answered(*answer, begun);
         ++counters_.unreadable;
         listener_.trouble("an answer of the store cannot be parsed: " + cause);
         failed({});
       });
}

void Store::begin_call(const GrantLease& call) {
  // etcd takes whole seconds; rounded up, so that the lease is never shorter than requested.
  const auto seconds = static_cast<std::int64_t>(std::ceil(call.length / 1000));
  post("/v3/lease/grant", registry::grant_request(seconds),
       [this, call, seconds](const Reply& reply, Millis begun) {
         std::string cause;
         const auto granted = reply.status == 200 ? registry::parse_grant(reply.body, cause) : std::nullopt;
         if (reply.status != 200) {
           refusal(reply);
         } else if (!granted) {
           listener_.trouble("the answer to a lease grant cannot be parsed: " + cause);
         } else if (granted->seconds < seconds) {
           listener_.trouble("the store grants leases of only " + std::to_string(granted->seconds) +
                             " s: configure a shorter lease");
         } else {
           const Header header = effective_header(fleet_header(granted->header), begun, true);
           return listener_.member(Granted{call.call, granted->id, to_member(header, begun)});
         }
         listener_.member(MemberCallLost{call.call});
       });
}

void Store::begin_call(const RenewLease& call) {
  post("/v3/lease/keepalive", registry::lease_request(call.lease),
       [this, call](const Reply& reply, Millis begun) {
         std::string cause;
         const auto kept =
             reply.status == 200 ? registry::parse_kept(call.lease, reply.body, cause) : std::nullopt;
         if (reply.status != 200) {
           refusal(reply);
         } else if (!kept) {
           listener_.trouble("the answer to a lease renewal cannot be parsed: " + cause);
         } else if (kept->seconds > 0 && static_cast<Millis>(kept->seconds) * 1000 < sharing_.lease) {
           listener_.trouble("a lease was renewed for less than its length");
         } else {
           const Header header = effective_header(fleet_header(kept->header), begun, false);
           return listener_.member(Renewed{call.call, kept->seconds > 0, to_member(header, begun)});
         }
         listener_.member(MemberCallLost{call.call});
       });
}

void Store::begin_call(const RevokeLease& call) {
  post("/v3/lease/revoke", registry::lease_request(call.lease),
       [this, call](const Reply& reply, Millis begun) {
         std::string cause;
         const auto header = reply.status == 200 ? registry::parse_revoked(reply.body, cause) : std::nullopt;
         if (header) {
           const Header effective = effective_header(fleet_header(*header), begun, true);
           return listener_.member(Revoked{call.call, to_member(effective, begun)});
         }
         // A lease that no longer exists counts as revoked.
         if (reply.status != 200 && refusal(reply).code == registry::kNotFound && latest_.any()) {
           return listener_.member(Revoked{call.call, latest_.get()});
         }
         listener_.member(MemberCallLost{call.call});
       });
}

void Store::begin_call(const PutRecord& call) {
  const std::string key = members_ + call.record.id.name;
  registry::Txn asked;
  asked.compare.push_back(
      {key, call.modified == 0 ? Compare::Of::kCreated : Compare::Of::kChanged, call.modified});
  if (call.plan_modified != 0) {
    asked.compare.push_back({plan_key_, Compare::Of::kChanged, call.plan_modified});
  }
  // Every answer shows whether there is a newer plan, in case the watch misses it.
  asked.success = {registry::Put{key, text_of(call.record), call.lease}, registry::Get{plan_key_, "", true}};
  asked.failure = {registry::Get{key, "", false}, registry::Get{plan_key_, "", true}};
  txn(
      std::move(asked),
      [this, call](const registry::TxnAnswer& answer, Millis begun) {
        RecordPut put{call.call, answer.succeeded, answer.header.revision, {}, 0, 0, {}};
        const registry::Page& plan = answer.pages[1];
        if (!plan.items.empty()) put.plan_modified = plan.items[0].revision;
        if (!answer.succeeded && !answer.pages[0].items.empty()) {
          std::string cause;
          put.own = parse_record(answer.pages[0].items[0].value, cause);
          put.own_modified = answer.pages[0].items[0].revision;
        }
        put.header = to_member(effective_header(fleet_header(answer.header), begun, true), begun);
        const std::uint64_t plan_modified = put.plan_modified;
        listener_.member(put);
        watch_.plan_modified(plan_modified);
      },
      [this, call](const registry::Refusal& refusal) {
        // Without the lease the record is gone as well.
        if (refusal.code != registry::kNotFound || !latest_.any()) {
          return listener_.member(MemberCallLost{call.call});
        }
        listener_.member(RecordPut{call.call, false, 0, {}, 0, 0, latest_.get()});
      });
}

void Store::begin_call(const Campaign& call) {
  registry::Txn asked;
  asked.compare = {{planner_key_, Compare::Of::kCreated, 0}};
  asked.success = {registry::Put{planner_key_, call.value, call.lease},
                   registry::Get{planner_key_, "", false}};
  asked.failure = {registry::Get{planner_key_, "", false}};
  txn(
      std::move(asked),
      [this, call](const registry::TxnAnswer& answer, Millis begun) {
        const registry::Page& page = answer.pages.back();
        CampaignResult result{call.call, 0, "",
                              to_planner(effective_header(fleet_header(answer.header), begun, true), begun)};
        if (!page.items.empty()) {
          result.created = page.items[0].created;
          result.value = page.items[0].value;
        }
        listener_.planner(result);
      },
      [this, call](const registry::Refusal&) { listener_.planner(CallLost{call.call}); });
}

void Store::begin_call(const ReadAll& call) {
  registry::Txn asked;
  asked.success = {registry::Get{planner_key_, "", true}, registry::Get{plan_key_, "", false},
                   registry::Get{members_, registry::prefix_end(members_), false}};
  txn(
      std::move(asked),
      [this, call](const registry::TxnAnswer& answer, Millis begun) {
        AllRead all = read_all(answer, [this](const std::string& text) { listener_.trouble(text); });
        all.call = call.call;
        all.header = to_planner(effective_header(fleet_header(answer.header), begun, true), begun);
        listener_.planner(all);
      },
      [this, call](const registry::Refusal&) { listener_.planner(CallLost{call.call}); });
}

void Store::begin_call(const PutPlan& call) {
  registry::Txn asked;
  asked.compare = {{planner_key_, Compare::Of::kCreated, call.fence},
                   {plan_key_, Compare::Of::kChanged, call.modified}};
  asked.success = {registry::Put{plan_key_, text_of(call.plan), 0}};
  txn(
      std::move(asked),
      [this, call](const registry::TxnAnswer& answer, Millis begun) {
        const Header header = to_planner(effective_header(fleet_header(answer.header), begun, true), begun);
        listener_.planner(PlanPut{call.call, answer.succeeded, header});
      },
      [this, call](const registry::Refusal&) { listener_.planner(CallLost{call.call}); });
}

void Store::begin_call(const Resign& call) {
  registry::Txn asked;
  asked.compare = {{planner_key_, Compare::Of::kCreated, call.fence}};
  asked.success = {registry::Delete{planner_key_}};
  txn(
      std::move(asked),
      [this, call](const registry::TxnAnswer& answer, Millis begun) {
        listener_.planner(Resigned{
            call.call, to_planner(effective_header(fleet_header(answer.header), begun, true), begun)});
      },
      [this, call](const registry::Refusal&) { listener_.planner(CallLost{call.call}); });
}

}  // namespace shorelead::fleet
