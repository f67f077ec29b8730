#include "fleet/store_lines.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace shorelead::fleet {
namespace {

using membership::registry::Exchange;

constexpr std::size_t kMaxAnswerBytes = 8U << 20;

}  // namespace

StoreLines::StoreLines(net::Loop& loop, StoreSpec spec, Trouble trouble)
    : loop_(loop), spec_(std::move(spec)), trouble_(std::move(trouble)) {
  if (spec_.endpoints.empty()) throw std::runtime_error("a store without endpoints");
  if (!spec_.tls) return;
  std::string cause = "this build has no TLS (cmake -DSHORELEAD_TLS=ON)";
#ifdef SHORELEAD_TLS
  tls_ = net::TlsContext::load(*spec_.tls, net::TlsContext::Side::kClient, cause);
#endif
  if (!tls_) throw std::runtime_error(cause);
}

StoreLines::~StoreLines() = default;

// The TLS context of the current key files, or the previous one if they cannot be used.
std::shared_ptr<const net::TlsContext> StoreLines::keys() {
#ifdef SHORELEAD_TLS
  std::string cause;
  if (tls_ && tls_->refresh(cause)) trouble_("keys were read again");
  if (!cause.empty()) trouble_("keys were not read again: " + cause);
#endif
  return tls_;
}

StoreLines::Place StoreLines::find(const Line* line) {
  return std::find_if(lines_.begin(), lines_.end(), [line](const auto& one) { return one.get() == line; });
}

// Destroys the connection later, since the call may come from one of its own callbacks.
void StoreLines::drop(Place place) {
  loop_.later([line = std::shared_ptr<Line>(std::move(*place))] {});
  lines_.erase(place);
}

StoreLines::Line& StoreLines::idle() {
  for (auto it = lines_.begin(); it != lines_.end();) {
    const auto place = it++;
    Line& line = **place;
    if (line.done) continue;
    if (line.endpoint == endpoint_ && line.exchange->usable()) return line;
    drop(place);
  }
  Line* const line = lines_.emplace_back(std::make_unique<Line>()).get();
  line->endpoint = endpoint_;
  line->exchange = std::make_unique<Exchange>(
      loop_, spec_.endpoints[endpoint_],
      Exchange::Listener{[this, line](int status, std::string body) {
                           over(line, {status, std::move(body)});
                         },
                         [](const std::string&) {},
                         [this, line](net::Ending ending) {
                           const std::string why = line->exchange->trouble();
                           if (line->done) {
                             trouble_(std::string("no answer from the store: ") + net::name_of(ending) +
                                      (why.empty() ? "" : ", " + why));
                           }
                           over(line, {});
                         }},
      keys());
  return *line;
}

void StoreLines::post(const std::string& path, const std::string& body, Millis within,
                      std::function<void(Reply)> done) {
  Line& line = idle();
  line.done = std::move(done);
  line.exchange->post(path, body, false, within);
}

void StoreLines::over(Line* line, Reply reply) {
  const auto place = find(line);
  if (place == lines_.end()) return;
  const auto done = std::exchange(line->done, nullptr);
  if (reply.body.size() > kMaxAnswerBytes) {
    trouble_("an answer of over 8 MiB");
    reply = {};
  }
  // 5xx: another member may be able to answer.
  if (done && (reply.status == 0 || reply.status >= 500)) leave(line->endpoint);
  if (reply.status == 0) drop(place);
  if (done) done(std::move(reply));
}

std::unique_ptr<Exchange> StoreLines::stream(Exchange::Listener listener) {
  return std::make_unique<Exchange>(loop_, spec_.endpoints[endpoint_], std::move(listener), keys());
}

void StoreLines::leave(std::size_t endpoint) {
  if (endpoint == endpoint_) endpoint_ = (endpoint_ + 1) % spec_.endpoints.size();
}

}  // namespace shorelead::fleet
