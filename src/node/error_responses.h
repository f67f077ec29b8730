// The words of answers that this node gives itself, and of the lines that it adds to one it passes on. Pure.
// Owns the wording alone; it must never send anything, nor know whose answer it is.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/millis.h"

namespace shorelead::node {

// Why a request is refused, in the published form (RFC 9209, Proxy-Status); told where processes share a
// fleet, whose clients may hear of three reasons in one status.
inline constexpr const char* kWhyNoRoom = "shorelead; error=destination_unavailable";
inline constexpr const char* kWhyShortage = "shorelead; error=http_request_denied; details=\"shortage\"";
inline constexpr const char* kWhyBudget = "shorelead; error=http_request_denied; details=\"budget\"";
inline constexpr const char* kWhyKey = "shorelead; error=http_request_denied; details=\"affinity\"";

struct Refusal {
  int status = 503;
  const char* cause = "refused, trying again is harmless";
  const char* why = "";  // of the above; empty: not told
  Millis wait = 0;       // before it may come back; 0: not told
};

// Of an answer of this node's own, whose body is a line of `length` bytes with its end; `last` on its
// connection.
std::string own_head(const Refusal& answer, std::size_t length, bool last);

// Behind the fields of an answer that is passed on.
std::string passed_lines(std::optional<std::size_t> length, bool chunked, bool last);

}  // namespace shorelead::node
