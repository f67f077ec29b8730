// Processes with one share each, in the steps that granting allows; for the property tests of shares.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <new>
#include <numeric>
#include <ostream>
#include <vector>

#include "fleet/share.h"

namespace shorelead::fleet {

inline constexpr int kProcesses = 3;
inline constexpr int kLive = kProcesses + 1;  // one replaces another, and both run for a while
inline constexpr Millis kLease = 900;
inline constexpr Millis kWindow = 1000;
inline constexpr double kRate = 10;  // per second, with three units of burst or of a count
inline constexpr double kUnits = 3;
inline constexpr double kRatio = 0.25;
inline constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

enum What { kSpendAll, kRequests, kLower, kRaise, kMove, kRenew, kLose, kRejoin, kReplace, kPass, kEnd };

struct Step {
  int what;
  int who;
  int units;
  Millis wait;
};

inline void showValue(const Step& s, std::ostream& out) {
  for (const double v : {1.0 * s.what, 1.0 * s.who, 1.0 * s.units, s.wait}) out << v << " ";
}

inline rc::Gen<std::vector<Step>> histories() {
  const auto what = rc::gen::weightedElement<int>({{6, kSpendAll},
                                                   {1, kRequests},
                                                   {4, kLower},
                                                   {6, kRaise},
                                                   {6, kMove},
                                                   {10, kRenew},
                                                   {1, kLose},
                                                   {3, kRejoin},
                                                   {1, kReplace},
                                                   {2, kPass},
                                                   {3, kEnd}});
  const auto wait = rc::gen::weightedOneOf<Millis>(
      {{1, rc::gen::just(0.0)}, {1, rc::gen::cast<Millis>(rc::gen::inRange(0, 300))}});
  return rc::gen::scale(4, rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
                               what, rc::gen::inRange(0, kLive), rc::gen::inRange(1, 4), wait)));
}

// `reserve`: units of each process in addition to its part.
template <int reserve>
struct Rate {
  static constexpr int kReserve = reserve;
  RateShare share{Part{kRate * 0.02 * reserve, 1.0 * reserve}};
  void set(double units, Millis now, Millis valid) {
    share.set({kRate * 0.9 * units / kUnits, units}, now, valid);
  }
  Spent spend(Millis now, Millis valid) { return share.spend(now, valid); }
  void reserve_from(Millis from, Millis now, Millis valid) { share.reserve_from(from, now, valid); }
  void request(Millis) {}
  void end() {}
};

template <int reserve>
struct AtOnce {
  static constexpr int kReserve = reserve;
  AtOnceShare share{reserve};
  void set(double units, Millis, Millis) { share.set(units); }
  Spent spend(Millis now, Millis valid) { return share.spend(now, valid); }
  void reserve_from(Millis from, Millis, Millis) { share.reserve_from(from); }
  void request(Millis) {}
  void end() {
    if (share.in_use() > 0) share.end();
  }
};

template <int reserve>
struct Attempts {
  static constexpr int kReserve = reserve;
  AttemptShare share{reserve, kRatio, kWindow};
  void set(double units, Millis now, Millis) { share.set(units, now); }
  Spent spend(Millis now, Millis valid) { return share.spend(now, valid); }
  void reserve_from(Millis from, Millis, Millis) { share.reserve_from(from); }
  void request(Millis now) { share.taken(now); }
  void end() {}
};

// The processes and the granting: a part is given to another process only once its owner has lowered it or
// has certainly lost it. `spent` and `requests` are the times over all processes.
template <typename Share>
struct World {
  static constexpr double kWhole = kUnits + kProcesses * Share::kReserve;
  Millis now = 1000;
  std::vector<Share> shares = std::vector<Share>(kLive);
  std::vector<double> parts = std::vector<double>(kLive, 0);
  std::vector<Millis> valid = std::vector<Millis>(kLive, 0);
  int without = kProcesses;  // the running process without a reserve
  std::vector<Millis> spent, requests;

  World() { shares[without].reserve_from(kNever, now, 0); }

  double free() {
    double left = kUnits;
    for (int n = 0; n < kLive; ++n) {
      if (now >= valid[n] && parts[n] > 0) quiet(shares[n]), parts[n] = 0;
      left -= parts[n];
    }
    return left;
  }
  void spend(int who) {
    while (shares[who].spend(now, valid[who]) == Spent::kYes) spent.push_back(now);
  }
  // Units in use end before a part is transferred, since the planner waits for Budget::hold.
  void quiet(Share& share) {
    for (int n = 0; n < 100; ++n) share.end();
  }

  void step(const Step& s) {
    now += s.wait;
    const double left = free();
    Share& share = shares[s.who];
    const bool member = now < valid[s.who];
    switch (s.what) {
      case kSpendAll:
        return spend(s.who);
      case kRequests:
        for (int n = 0; n < s.units; ++n) requests.push_back((share.request(now), now));
        break;
      case kLower:
        if (!member) break;
        share.set(parts[s.who] = std::max(0.0, parts[s.who] - s.units), now, valid[s.who]);
        quiet(share);
        break;
      case kRaise:
        if (!member) break;
        share.set(parts[s.who] += std::min<double>(s.units, left), now, valid[s.who]);
        break;
      case kMove: {
        const int next = (s.who + 1) % kLive;
        if (!member || now >= valid[next]) break;
        share.set(parts[s.who] = 0, now, valid[s.who]);
        quiet(share);
        shares[next].set(parts[next] += kUnits - std::accumulate(parts.begin(), parts.end(), 0.0), now,
                         valid[next]);
        break;
      }
      case kRenew:
        for (Millis& until : valid) until = now < until ? now + kLease : until;
        break;
      case kLose:  // without being notified: it keeps using its old part
        quiet(share);
        valid[s.who] = std::min(valid[s.who], now);
        break;
      case kRejoin:
        if (member) break;
        quiet(share);
        share.set(0, now, valid[s.who]);
        valid[s.who] = now + kLease;
        break;
      case kReplace:
        parts[s.who] = 0;
        valid[s.who] = now;
        share.~Share();
        new (&share) Share;
        if (s.who == without) share.reserve_from(kNever, now, valid[s.who]);
        break;
      case kPass:  // its reserve moves to the process without one; its use has ended
        if (s.who == without) break;
        share.reserve_from(kNever, now, valid[s.who]);
        quiet(share);
        shares[without].reserve_from(now, now, valid[without]);
        without = s.who;
        break;
      default:
        share.end();
    }
  }
};

}  // namespace shorelead::fleet
