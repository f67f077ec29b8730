#include "peers/ledger.h"

#include <algorithm>

namespace shorelead::peers {
namespace {

constexpr Millis kLife = 2000;       // what a node told counts so long; who has more out tells again sooner
constexpr double kRatioGain = 0.15;  // weight of one attempt in a backend's service time
constexpr double kTakenGain = 0.03;  // weight of one ask in the share that is followed by a send

}  // namespace

void BackendLedger::tell(int peer, const PeerMessage& message, Millis now) {
  answers_ += message.ending == PeerMessage::Ending::kAnswered;
  if (message.ending == PeerMessage::Ending::kSent) taken_ += kTakenGain;
  std::erase_if(entries_, [peer](const Entry& e) { return e.peer == peer; });
  drop(now);
  double all = message.held;
  for (const Entry& e : entries_) all += e.held;
  if (message.held > 0) entries_.push_back({peer, message.work, message.held, now, 0, answers_ + all});
  if (message.ratio > 0) ratio_ += (ratio_ > 0 ? kRatioGain : 1) * (message.ratio - ratio_);
}

void BackendLedger::drop(Millis now) {
  std::erase_if(entries_, [this, now](const Entry& e) {
    return (e.held <= 0 || now - e.at > kLife || answers_ > e.overtaken) && now > e.promised;
  });
}

PeerMessage BackendLedger::known(int asker, Millis window, Millis now) {
  drop(now);
  PeerMessage message;
  message.kind = PeerMessage::Kind::kLoadReply;
  message.ratio = ratio_;
  Entry* own = nullptr;
  for (Entry& e : entries_) {
    if (e.peer == asker) {
      own = &e;
      continue;
    }
    const double promise = now < e.promised ? taken_ : 0;
    message.work += e.work + promise;
    message.held += e.held + promise;
  }
  if (own == nullptr) {
    entries_.push_back({asker, 0, 0, now, 0, 0});
    own = &entries_.back();
  }
  own->promised = now + window;
  taken_ -= kTakenGain * taken_;
  return message;
}

void RateLedger::tell(int peer, double rate, Millis now) {
  std::erase_if(entries_, [peer, now](const Entry& e) { return e.peer == peer || now - e.at > kLife; });
  entries_.push_back({peer, rate, now});
  total_ = 0;
  for (const Entry& e : entries_) total_ += e.rate;
}

}  // namespace shorelead::peers
