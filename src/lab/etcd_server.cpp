#include "lab/etcd_server.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "lab/etcd_session.h"

namespace shorelead::lab {
namespace {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kTroubleEvery = 20;
constexpr std::int64_t kMostTtl = 9'000'000'000;  // seconds, as published

bool puts(const Txn& txn) {
  for (const auto* const ops : {&txn.success, &txn.failure}) {
    for (const TxnOp& op : *ops) {
      if (std::holds_alternative<PutOp>(op)) return true;
    }
  }
  return false;
}

std::string quoted(std::int64_t number) { return fmt::format("\"{}\"", number); }

}  // namespace

EtcdServer::EtcdServer(boost::asio::io_context& context, std::string address, const EtcdTroubles& troubles,
                       std::uint64_t seed, Owner owner)
    : context_(context),
      address_(std::move(address)),
      spec_(troubles),
      owner_(std::move(owner)),
      faults_(seed, "registry"),
      alarm_(context) {
  const auto members = static_cast<std::size_t>(spec_.members);
  ports_.resize(members);
  acceptors_.resize(members);
  lag_.resize(members);
  for (std::size_t member = 0; member < members; ++member) listen(member);
  trouble();
}

EtcdServer::~EtcdServer() { close_all(); }

void EtcdServer::close_all() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

void EtcdServer::listen(std::size_t member) {
  const tcp::endpoint at(boost::asio::ip::make_address(address_), ports_[member]);
  acceptors_[member] = std::make_unique<tcp::acceptor>(context_, at, true);
  ports_[member] = acceptors_[member]->local_endpoint().port();
  accept(member);
}

void EtcdServer::accept(std::size_t member) {
  acceptors_[member]->async_accept([this, member](const error_code& error, tcp::socket socket) {
    if (error) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<EtcdSession>(*this, member, std::move(socket));
    sessions_.insert(session);
    session->read();
    accept(member);
  });
}

std::string EtcdServer::dial() const {
  std::string all;
  for (const unsigned short port : ports_) {
    all += (all.empty() ? "" : " ") + address_ + ":" + std::to_string(port);
  }
  return all;
}

std::uint64_t EtcdServer::seen_by(std::size_t member) const {
  return store_.revision() > lag_[member] ? store_.revision() - lag_[member] : 1;
}

std::string EtcdServer::head(std::size_t member, std::uint64_t revision) const {
  return etcd::head(store_.cluster(), member, revision);
}

EtcdServer::Answer EtcdServer::carry_out(std::size_t member, const etcd::Call& call) {
  const Millis now = clock_now();
  store_.expire(now);
  const auto failed = [](const etcd::Failure& failure) {
    return Answer{failure.status, etcd::text_of(failure), {}};
  };
  Answer answer{"200 OK", "", {}};
  if (const auto* const asked = std::get_if<etcd::KeyCall>(&call)) {
    answer = keys(member, *asked);
  } else if (const auto* const lease = std::get_if<etcd::GrantCall>(&call)) {
    answer = grant(member, *lease);
  } else if (const auto* const kept = std::get_if<etcd::KeepAliveCall>(&call)) {
    // As published this asks the leader but tells the member's own revision; a lease that is gone has no TTL.
    const bool there = store_.keep_alive(kept->id, now);
    answer.body = "{\"result\":" + head(member, seen_by(member)) + ",\"ID\":" + quoted(kept->id);
    if (there) {
      answer.body += ",\"TTL\":" + quoted(static_cast<std::int64_t>(store_.lease(kept->id)->length / 1000));
    }
    answer.body += "}}\n";
  } else if (const auto* const revoked = std::get_if<etcd::RevokeCall>(&call)) {
    if (!store_.revoke(revoked->id)) return failed(etcd::kNoLease);
    answer.body = head(member, store_.revision()) + "}";
  } else if (const auto* const asked_for = std::get_if<etcd::TimeToLiveCall>(&call)) {
    const Leases::Lease* const found = store_.lease(asked_for->id);
    answer.body = head(member, store_.revision()) + ",\"ID\":" + quoted(asked_for->id) + ",\"TTL\":" +
                  quoted(found == nullptr ? -1 : static_cast<std::int64_t>((found->ends - now) / 1000));
    if (found != nullptr) {
      answer.body += ",\"grantedTTL\":" + quoted(static_cast<std::int64_t>(found->length / 1000));
      std::string all;
      for (const std::string& key : store_.keys_of(asked_for->id)) {
        all += (all.empty() ? "\"" : ",\"") + etcd::to_base64(key) + "\"";
      }
      if (asked_for->keys && !all.empty()) answer.body += ",\"keys\":[" + all + "]";
    }
    answer.body += "}";
  }
  poke();
  return answer;
}

EtcdServer::Answer EtcdServer::grant(std::size_t member, const etcd::GrantCall& call) {
  const auto failed = [](const etcd::Failure& failure) {
    return Answer{failure.status, etcd::text_of(failure), {}};
  };
  if (full_) return failed(etcd::kNoSpace);
  if (call.seconds > kMostTtl) return failed(etcd::kBadTtl);
  const std::int64_t seconds = std::max<std::int64_t>(1, call.seconds);
  const std::int64_t id = store_.grant(call.id, static_cast<Millis>(seconds) * 1000, clock_now());
  if (id == 0) return failed(etcd::kLeaseExists);
  return {"200 OK",
          head(member, store_.revision()) + ",\"ID\":" + quoted(id) + ",\"TTL\":" + quoted(seconds) + "}",
          {}};
}

EtcdServer::Answer EtcdServer::keys(std::size_t member, const etcd::KeyCall& call) {
  const auto failed = [](const etcd::Failure& failure) {
    return Answer{failure.status, etcd::text_of(failure), {}};
  };
  if (full_ && puts(call.txn)) return failed(etcd::kNoSpace);
  etcd::KeyCall asked = call;
  std::uint64_t header = 0;
  bool lies = false;
  if (asked.form == etcd::KeyCall::Form::kRange) {
    auto& range = std::get<RangeOp>(asked.txn.success.front());
    const bool may_lag = loose(range.from);
    if (may_lag || asked.serializable) {
      header = seen_by(member);
      if (range.revision == 0) range.revision = header;
    }
    lies = empty_ && may_lag;
  }
  const TxnResult result = store_.txn(asked.txn);
  if (result.error != TxnError::kNone) return failed(etcd::failure_of(result.error));
  Answer answer{"200 OK", head(member, header > 0 ? header : result.revision), {}};
  if (!lies) answer.body += etcd::tail(asked, result);
  answer.body += "}";
  for (std::size_t n = 0; n < result.ops.size() && !lies; ++n) {
    for (const auto& [key, stored] : result.ops[n].range.items) {
      answer.told.push_back({stored.changed, key, false, stored});
    }
  }
  return answer;
}

void EtcdServer::poke() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->push();
}

// Leases run out, members lag and catch up, history is compacted, watches go deaf.
void EtcdServer::trouble() {
  const Millis now = clock_now();
  store_.expire(now);
  if (spec_.compact_every > 0 && now >= compact_at_) {
    compact_at_ = now + spec_.compact_every;
    store_.compact(store_.revision());
  }
  for (std::uint64_t& lag : lag_) {
    if (spec_.lag > 0) lag = faults_.chance(0.5) ? 0 : faults_.whole(static_cast<std::size_t>(spec_.lag) + 1);
  }
  const auto sessions = sessions_;
  for (const auto& session : sessions) {
    if (session->watching() && faults_.chance(spec_.deaf * kTroubleEvery / 1000)) session->go_deaf();
  }
  poke();
  alarm_.at(now + kTroubleEvery, nullptr, [this] { trouble(); });
}

void EtcdServer::deafen() {
  for (const auto& session : sessions_) session->go_deaf();
}

void EtcdServer::down(bool on) {
  if (on == down_) return;
  down_ = on;
  error_code ignored;
  for (std::size_t member = 0; member < acceptors_.size(); ++member) {
    if (on) {
      acceptors_[member]->close(ignored);
    } else {
      listen(member);
    }
  }
  if (on) close_all();
}

void EtcdServer::restart(std::uint64_t lost, bool same) {
  store_.restore(store_.revision() > lost ? store_.revision() - lost : 1, clock_now(), same);
  close_all();
}

void EtcdServer::empty(bool on) {
  empty_ = on;
  close_all();
}

}  // namespace shorelead::lab
