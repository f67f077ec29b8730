#include "node/error_responses.h"

#include <array>
#include <cstdio>

namespace shorelead::node {
namespace {

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
  }
  return "Unknown";
}

}  // namespace

std::string generated_head(const Refusal& response, std::size_t length, bool last) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " + reason(response.status) + "\r\n";
  if (response.retry_after > 0) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", response.retry_after / 1000);
    head += std::string("Retry-After: ") + text.data() + "\r\n";
  }
  if (*response.proxy_status != 0) head += std::string("Proxy-Status: ") + response.proxy_status + "\r\n";
  head += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(length) + "\r\n";
  if (last) head += "Connection: close\r\n";
  return head + "\r\n";
}

std::string framing_fields(std::optional<std::size_t> length, bool chunked, bool last) {
  std::string fields;
  if (length) fields = "Content-Length: " + std::to_string(*length) + "\r\n";
  if (chunked) fields = "Transfer-Encoding: chunked\r\n";
  if (last) fields += "Connection: close\r\n";
  return fields + "\r\n";
}

}  // namespace shorelead::node
