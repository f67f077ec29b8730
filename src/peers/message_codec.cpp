#include "peers/message_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace shorelead::peers {
namespace {

constexpr unsigned kVersion = 1;
constexpr double kStepsPerRequest = 8;  // resolution of work and held
constexpr unsigned kSentCode = 0;
constexpr unsigned kLostCode = 1;
constexpr unsigned kAnsweredCode = 2;
constexpr unsigned kMinRatioCode = 3;

unsigned scaled_byte(double value, double steps) {
  return static_cast<unsigned>(std::clamp(std::ceil(value * steps), 0.0, 255.0));
}

unsigned encode_ratio(double ratio) {
  if (!(ratio > 0)) return 0;
  return static_cast<unsigned>(
      std::clamp(std::round(128 + 16 * std::log2(ratio)), double{kMinRatioCode}, 255.0));
}

double decode_ratio(unsigned code) { return code < kMinRatioCode ? 0 : std::exp2((code - 128.0) / 16); }

unsigned encode_ending(const PeerMessage& message) {
  switch (message.ending) {
    case PeerMessage::Ending::kSent:
      return kSentCode;
    case PeerMessage::Ending::kLost:
      return kLostCode;
    case PeerMessage::Ending::kAnswered:
      return std::max(kAnsweredCode, encode_ratio(message.ratio));
  }
  return kSentCode;
}

std::size_t encoded_length(PeerMessage::Kind kind) {
  switch (kind) {
    case PeerMessage::Kind::kLoadQuery:
      return 5;
    case PeerMessage::Kind::kLoadReply:
    case PeerMessage::Kind::kLoadUpdate:
      return 8;
    case PeerMessage::Kind::kTenantRate:
    case PeerMessage::Kind::kTenantTotal:
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
    case PeerMessage::Kind::kLoadQuery:
      break;
    case PeerMessage::Kind::kLoadReply:
      put(scaled_byte(message.work, kStepsPerRequest));
      put(scaled_byte(message.held, kStepsPerRequest));
      put(encode_ratio(message.ratio));
      break;
    case PeerMessage::Kind::kLoadUpdate:
      put(scaled_byte(message.work, kStepsPerRequest));
      put(scaled_byte(message.held, 1));
      put(encode_ending(message));
      break;
    case PeerMessage::Kind::kTenantRate:
    case PeerMessage::Kind::kTenantTotal: {
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
  if ((at(0) & 15) > static_cast<unsigned>(PeerMessage::Kind::kTenantTotal)) return std::nullopt;
  PeerMessage message;
  message.kind = static_cast<PeerMessage::Kind>(at(0) & 15);
  if (bytes.size() != encoded_length(message.kind)) return std::nullopt;
  for (std::size_t n = 0; n < 4; ++n) message.about |= std::uint32_t{at(n + 1)} << (8 * n);
  switch (message.kind) {
    case PeerMessage::Kind::kLoadQuery:
      break;
    case PeerMessage::Kind::kLoadReply:
      message.work = at(5) / kStepsPerRequest;
      message.held = at(6) / kStepsPerRequest;
      message.ratio = decode_ratio(at(7));
      break;
    case PeerMessage::Kind::kLoadUpdate:
      message.work = at(5) / kStepsPerRequest;
      message.held = at(6);
      message.ending = at(7) == kSentCode   ? PeerMessage::Ending::kSent
                       : at(7) == kLostCode ? PeerMessage::Ending::kLost
                                            : PeerMessage::Ending::kAnswered;
      message.ratio = decode_ratio(at(7));
      break;
    case PeerMessage::Kind::kTenantRate:
    case PeerMessage::Kind::kTenantTotal:
      message.rate = at(5) + at(6) * 256;
      break;
  }
  return message;
}

}  // namespace shorelead::peers
