#include "node/request_head.h"

#include <algorithm>
#include <cmath>

namespace shorelead::node {

void request_head(const Message& message, Millis left, std::string& own,
                  std::vector<std::string_view>& pieces) {
  const std::string_view raw = message.raw;
  const Head& head = message.head();
  pieces.insert(pieces.end(), {head.method.in(raw), " ", head.target.in(raw), " HTTP/1.1\r\n"});
  pass_fields(head, raw, pieces);
  own = "X-Timeout-Ms: " + std::to_string(static_cast<long>(std::ceil(std::max(1.0, left)))) + "\r\n";
  if (message.flow) {
    own += message.flow->length() ? "Content-Length: " + std::to_string(*message.flow->length()) + "\r\n"
                                  : std::string("Transfer-Encoding: chunked\r\n");
  } else if (!message.body().empty() || head.method.in(raw) != "GET") {
    own += "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
  }
  own += "\r\n";
  pieces.push_back(own);
}

}  // namespace shorelead::node
