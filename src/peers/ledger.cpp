#include "peers/ledger.h"

#include <algorithm>

namespace shorelead::peers {
namespace {

constexpr Millis kEntryLifetime = 2000;  // a node with attempts in flight reports again sooner
constexpr double kRatioGain = 0.15;      // weight of one attempt in a backend's service time ratio
constexpr double kSendShareGain = 0.03;  // weight of one query in the share that is followed by an attempt

}  // namespace

void BackendLedger::update(int peer, const PeerMessage& message, Millis now) {
  answers_ += message.ending == PeerMessage::Ending::kAnswered;
  if (message.ending == PeerMessage::Ending::kSent) send_share_ += kSendShareGain;
  std::erase_if(entries_, [peer](const Entry& e) { return e.peer == peer; });
  drop_outdated(now);
  double all = message.held;
  for (const Entry& e : entries_) all += e.held;
  if (message.held > 0) entries_.push_back({peer, message.work, message.held, now, 0, answers_ + all});
  if (message.ratio > 0) ratio_ += (ratio_ > 0 ? kRatioGain : 1) * (message.ratio - ratio_);
}

void BackendLedger::drop_outdated(Millis now) {
  std::erase_if(entries_, [this, now](const Entry& e) {
    return (e.held <= 0 || now - e.at > kEntryLifetime || answers_ > e.lost_after) && now > e.reserved_until;
  });
}

PeerMessage BackendLedger::load_for(int asker, Millis window, Millis now) {
  drop_outdated(now);
  PeerMessage message;
  message.kind = PeerMessage::Kind::kLoadReply;
  message.ratio = ratio_;
  Entry* own = nullptr;
  for (Entry& e : entries_) {
    if (e.peer == asker) {
      own = &e;
      continue;
    }
    const double expected = now < e.reserved_until ? send_share_ : 0;
    message.work += e.work + expected;
    message.held += e.held + expected;
  }
  if (own == nullptr) {
    entries_.push_back({asker, 0, 0, now, 0, 0});
    own = &entries_.back();
  }
  own->reserved_until = now + window;
  send_share_ -= kSendShareGain * send_share_;
  return message;
}

void RateLedger::update(int peer, double rate, Millis now) {
  std::erase_if(entries_,
                [peer, now](const Entry& e) { return e.peer == peer || now - e.at > kEntryLifetime; });
  entries_.push_back({peer, rate, now});
  total_ = 0;
  for (const Entry& e : entries_) total_ += e.rate;
}

}  // namespace shorelead::peers
