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

std::string own_head(const Refusal& answer, std::size_t length, bool last) {
  std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " " + reason(answer.status) + "\r\n";
  if (answer.wait > 0) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", answer.wait / 1000);
    head += std::string("Retry-After: ") + text.data() + "\r\n";
  }
  if (*answer.why != 0) head += std::string("Proxy-Status: ") + answer.why + "\r\n";
  head += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(length) + "\r\n";
  if (last) head += "Connection: close\r\n";
  return head + "\r\n";
}

std::string passed_lines(std::optional<std::size_t> length, bool chunked, bool last) {
  std::string lines;
  if (length) lines = "Content-Length: " + std::to_string(*length) + "\r\n";
  if (chunked) lines = "Transfer-Encoding: chunked\r\n";
  if (last) lines += "Connection: close\r\n";
  return lines + "\r\n";
}

}  // namespace shorelead::node
