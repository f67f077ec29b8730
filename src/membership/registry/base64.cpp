#include <cstdint>
#include <string>
#include <string_view>

#include "membership/registry/messages.h"

namespace shorelead::membership::registry {
namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string base64(std::string_view bytes) {
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t three = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      three = three << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k <= bytes.size() ? kDigits[three >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string out;
  out.reserve(text.size() / 4 * 3);
  for (std::size_t n = 0; n < text.size(); n += 4) {
    std::uint32_t three = 0;
    std::size_t filled = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const char c = text[n + k];
      const std::size_t digit = kDigits.find(c);
      if (c == '=' && n + 4 == text.size() && k >= 2 && (k == 3 || text[n + 3] == '=')) {
        three <<= 6;
        ++filled;
        continue;
      }
      if (digit == std::string_view::npos || filled > 0) return std::nullopt;
      three = three << 6 | static_cast<std::uint32_t>(digit);
    }
    for (std::size_t k = 0; k + filled < 3; ++k) out += static_cast<char>(three >> (16 - 8 * k) & 255U);
  }
  return out;
}

}  // namespace shorelead::membership::registry
