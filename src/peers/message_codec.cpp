#include "peers/message_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace shorelead::peers {
namespace {

constexpr unsigned kVersion = 1;
constexpr double kStep = 8;  // parts of a mean request in which work is told
constexpr unsigned kSent = 0;
constexpr unsigned kLost = 1;
constexpr unsigned kAnswered = 2;
constexpr unsigned kLeastRatio = 3;

unsigned part(double value, double step) {
  return static_cast<unsigned>(std::clamp(std::ceil(value * step), 0.0, 255.0));
}

unsigned ratio_code(double ratio) {
  if (!(ratio > 0)) return 0;
  return static_cast<unsigned>(
      std::clamp(std::round(128 + 16 * std::log2(ratio)), double{kLeastRatio}, 255.0));
}

double ratio_of(unsigned code) { return code < kLeastRatio ? 0 : std::exp2((code - 128.0) / 16); }

unsigned ending_code(const PeerMessage& message) {
  switch (message.ending) {
    case PeerMessage::Ending::kSent:
      return kSent;
    case PeerMessage::Ending::kLost:
      return kLost;
    case PeerMessage::Ending::kAnswered:
      return std::max(kAnswered, ratio_code(message.ratio));
  }
  return kSent;
}

std::size_t length_of(PeerMessage::Kind kind) {
  switch (kind) {
    case PeerMessage::Kind::kAsk:
      return 5;
    case PeerMessage::Kind::kAnswer:
    case PeerMessage::Kind::kTell:
      return 8;
    case PeerMessage::Kind::kRate:
    case PeerMessage::Kind::kTotal:
      return 7;
  }
  return 0;
}

}  // namespace

std::string encode(const PeerMessage& message) {
  std::string bytes;
  const auto put = [&bytes](unsigned value) { bytes.push_back(static_cast<char>(value & 255)); };
  put(kVersion << 4 | static_cast<unsigned>(message.kind));
  for (int n = 0; n < 4; ++n) put(message.about >> (8 * n));
  switch (message.kind) {
    case PeerMessage::Kind::kAsk:
      break;
    case PeerMessage::Kind::kAnswer:
      put(part(message.work, kStep));
      put(part(message.held, kStep));
      put(ratio_code(message.ratio));
      break;
    case PeerMessage::Kind::kTell:
      put(part(message.work, kStep));
      put(part(message.held, 1));
      put(ending_code(message));
      break;
    case PeerMessage::Kind::kRate:
    case PeerMessage::Kind::kTotal: {
      const unsigned rate = static_cast<unsigned>(std::clamp(message.rate, 0.0, 65535.0));
      put(rate);
      put(rate >> 8);
      break;
    }
  }
  return bytes;
}

std::optional<PeerMessage> decode(std::string_view bytes) {
  const auto at = [bytes](std::size_t n) {
    return static_cast<unsigned>(static_cast<unsigned char>(bytes[n]));
  };
  if (bytes.size() < 5 || at(0) >> 4 != kVersion) return std::nullopt;
  if ((at(0) & 15) > static_cast<unsigned>(PeerMessage::Kind::kTotal)) return std::nullopt;
  PeerMessage message;
  message.kind = static_cast<PeerMessage::Kind>(at(0) & 15);
  if (bytes.size() != length_of(message.kind)) return std::nullopt;
  for (std::size_t n = 0; n < 4; ++n) message.about |= std::uint32_t{at(n + 1)} << (8 * n);
  switch (message.kind) {
    case PeerMessage::Kind::kAsk:
      break;
    case PeerMessage::Kind::kAnswer:
      message.work = at(5) / kStep;
      message.held = at(6) / kStep;
      message.ratio = ratio_of(at(7));
      break;
    case PeerMessage::Kind::kTell:
      message.work = at(5) / kStep;
      message.held = at(6);
      message.ending = at(7) == kSent   ? PeerMessage::Ending::kSent
                       : at(7) == kLost ? PeerMessage::Ending::kLost
                                        : PeerMessage::Ending::kAnswered;
      message.ratio = ratio_of(at(7));
      break;
    case PeerMessage::Kind::kRate:
    case PeerMessage::Kind::kTotal:
      message.rate = at(5) + at(6) * 256;
      break;
  }
  return message;
}

}  // namespace shorelead::peers
