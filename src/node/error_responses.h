// Heads of the responses that this node generates itself, and the framing fields that it adds to forwarded
// ones. Pure text; sends nothing.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/millis.h"

namespace shorelead::node {

// Why a request is refused, as a Proxy-Status field (RFC 9209). Sent where processes share a fleet: there one
// status may have three causes.
inline constexpr const char* kProxyStatusUnavailable = "shorelead; error=destination_unavailable";
inline constexpr const char* kProxyStatusShortage =
    "shorelead; error=http_request_denied; details=\"shortage\"";
inline constexpr const char* kProxyStatusBudget = "shorelead; error=http_request_denied; details=\"budget\"";
inline constexpr const char* kProxyStatusAffinity =
    "shorelead; error=http_request_denied; details=\"affinity\"";

struct Refusal {
  int status = 503;
  const char* cause = "refused, trying again is harmless";
  const char* proxy_status = "";  // one of the above; empty: the field is left out
  Millis retry_after = 0;         // 0: the field is left out
};

// The head of a generated response, whose body is one line of `length` bytes including its end; `last`: the
// connection closes after it.
std::string generated_head(const Refusal& response, std::size_t length, bool last);

// What follows the forwarded fields of a response: framing, connection and the end of the head.
std::string framing_fields(std::optional<std::size_t> length, bool chunked, bool last);

}  // namespace shorelead::node
