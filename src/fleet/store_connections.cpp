#include "fleet/store_connections.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace shorelead::fleet {
namespace {

using membership::registry::Exchange;

constexpr std::size_t kMaxAnswerBytes = 8U << 20;

}  // namespace

StoreConnections::StoreConnections(net::Loop& loop, StoreSpec spec, Trouble trouble)
    : loop_(loop), spec_(std::move(spec)), trouble_(std::move(trouble)) {
  if (spec_.endpoints.empty()) throw std::runtime_error("the store has no endpoints");
  if (!spec_.tls) return;
  std::string cause = "this build has no TLS (cmake -DSHORELEAD_TLS=ON)";
#ifdef SHORELEAD_TLS
  tls_ = net::TlsContext::load(*spec_.tls, net::TlsContext::Side::kClient, cause);
#endif
  if (!tls_) throw std::runtime_error(cause);
}

StoreConnections::~StoreConnections() = default;

// The TLS context of the current key files, or the previous one if they cannot be used.
std::shared_ptr<const net::TlsContext> StoreConnections::tls_context() {
#ifdef SHORELEAD_TLS
  std::string cause;
  if (tls_ && tls_->refresh(cause)) trouble_("TLS key files reloaded");
  if (!cause.empty()) trouble_("TLS key files not reloaded, the previous ones stay in use: " + cause);
#endif
  return tls_;
}

StoreConnections::Position StoreConnections::find(const Connection* connection) {
  return std::find_if(connections_.begin(), connections_.end(),
                      [connection](const auto& one) { return one.get() == connection; });
}

// Destroys the connection later, since the call may come from one of its own callbacks.
void StoreConnections::drop(Position position) {
  loop_.later([connection = std::shared_ptr<Connection>(std::move(*position))] {});
  connections_.erase(position);
}

StoreConnections::Connection& StoreConnections::idle_connection() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    const auto position = it++;
    Connection& connection = **position;
    if (connection.done) continue;
    if (connection.endpoint == endpoint_ && connection.exchange->usable()) return connection;
    drop(position);
  }
  Connection* const connection = connections_.emplace_back(std::make_unique<Connection>()).get();
  connection->endpoint = endpoint_;
  connection->exchange = std::make_unique<Exchange>(
      loop_, spec_.endpoints[endpoint_],
      Exchange::Listener{[this, connection](int status, std::string body) {
                           finish(connection, {status, std::move(body)});
                         },
                         [](const std::string&) {},
                         [this, connection](net::Ending ending) {
                           const std::string why = connection->exchange->trouble();
                           if (connection->done) {
                             trouble_(std::string("no answer from the store: ") + net::name_of(ending) +
                                      (why.empty() ? "" : ", " + why));
                           }
                           finish(connection, {});
                         }},
      tls_context());
  return *connection;
}

void StoreConnections::post(const std::string& path, const std::string& body, Millis within,
                            std::function<void(Reply)> done) {
  Connection& connection = idle_connection();
  connection.done = std::move(done);
  connection.exchange->post(path, body, false, within);
}

void StoreConnections::finish(Connection* connection, Reply reply) {
  const auto position = find(connection);
  if (position == connections_.end()) return;
  const auto done = std::exchange(connection->done, nullptr);
  if (reply.body.size() > kMaxAnswerBytes) {
    trouble_("an answer of the store exceeds 8 MiB");
    reply = {};
  }
  // 5xx: another member may be able to answer.
  if (done && (reply.status == 0 || reply.status >= 500)) fail_over(connection->endpoint);
  if (reply.status == 0) drop(position);
  if (done) done(std::move(reply));
}

std::unique_ptr<Exchange> StoreConnections::stream(Exchange::Listener listener) {
  return std::make_unique<Exchange>(loop_, spec_.endpoints[endpoint_], std::move(listener), tls_context());
}

void StoreConnections::fail_over(std::size_t endpoint) {
  if (endpoint == endpoint_) endpoint_ = (endpoint_ + 1) % spec_.endpoints.size();
}

}  // namespace shorelead::fleet
