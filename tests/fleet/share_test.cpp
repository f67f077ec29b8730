// Shares of several processes under random histories: what was granted adds up to at most the whole at every
// moment, as the plan keeps it, and then so does what is spent, over every window. Processes stand still
// beyond their lease, come back as another incarnation, and are replaced by new ones.
#include "fleet/share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

namespace shorelead::fleet {
namespace {

constexpr int kProcesses = 3;
constexpr Millis kLease = 900;
constexpr Millis kWindow = 1000;
constexpr double kRate = 10;  // a second, and three units of burst or of a count
constexpr double kUnits = 3;
constexpr double kRatio = 0.25;

enum What { kSpendAll, kRequests, kLower, kRaise, kMove, kRenew, kLose, kRejoin, kReplace, kEnd };

struct Step {
  int what;
  int who;
  int units;
  Millis wait;
};

void showValue(const Step& s, std::ostream& out) {
  out << "{" << s.what << "," << s.who << "," << s.units << "," << s.wait << "}";
}

rc::Gen<std::vector<Step>> histories() {
  return rc::gen::scale(
      4, rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
             rc::gen::weightedElement<int>({{6, kSpendAll},
                                            {1, kRequests},
                                            {4, kLower},
                                            {6, kRaise},
                                            {6, kMove},
                                            {10, kRenew},
                                            {1, kLose},
                                            {3, kRejoin},
                                            {1, kReplace},
                                            {3, kEnd}}),
             rc::gen::inRange(0, kProcesses), rc::gen::inRange(1, 4),
             rc::gen::map(rc::gen::weightedOneOf<int>({{3, rc::gen::just(0)}, {3, rc::gen::inRange(0, 300)}}),
                          [](int ms) { return static_cast<Millis>(ms); }))));
}

// `reserve`: units that each process has beside its part.
template <int reserve>
struct Rate {
  static constexpr int kReserve = reserve;
  RateShare share{Part{kRate * 0.02 * reserve, 1.0 * reserve}};
  void set(double units, Millis now, Millis valid) {
    share.set({kRate * 0.9 * units / kUnits, units}, now, valid);
  }
  Spent spend(Millis now, Millis valid) { return share.spend(now, valid); }
  void request(Millis) {}
  void end() {}
};

template <int reserve>
struct AtOnce {
  static constexpr int kReserve = reserve;
  AtOnceShare share{reserve};
  void set(double units, Millis, Millis) { share.set(units); }
  Spent spend(Millis now, Millis valid) { return share.spend(now, valid); }
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
  void request(Millis now) { share.taken(now); }
  void end() {}
};

// The processes and the granting: a part is given to another only once its owner has lowered or surely lost
// it. `spent` and `requests` are the moments of all processes.
template <typename Share>
struct World {
  static constexpr double kWhole = kUnits + kProcesses * Share::kReserve;
  Millis now = 1000;
  std::vector<Share> shares = std::vector<Share>(kProcesses);
  std::vector<double> parts = std::vector<double>(kProcesses, 0);
  std::vector<Millis> valid = std::vector<Millis>(kProcesses, 0);
  std::vector<Millis> spent, requests;

  double free() {
    double left = kUnits;
    for (int n = 0; n < kProcesses; ++n) {
      if (now >= valid[n] && parts[n] > 0) quiet(shares[n]), parts[n] = 0;
      left -= parts[n];
    }
    return left;
  }
  void spend(int who) {
    while (shares[who].spend(now, valid[who]) == Spent::kYes) spent.push_back(now);
  }
  // What is in use when a process is lost or replaced stays with it: that is Budget::hold's to wait for.
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
        const int next = (s.who + 1) % kProcesses;
        if (!member || now >= valid[next]) break;
        share.set(parts[s.who] = 0, now, valid[s.who]);
        quiet(share);
        shares[next].set(parts[next] += kUnits - parts[0] - parts[1] - parts[2], now, valid[next]);
        break;
      }
      case kRenew:
        for (Millis& until : valid) until = now < until ? now + kLease : until;
        break;
      case kLose:  // and is not told: it goes on with its old part
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
        break;
      default:
        share.end();
    }
  }
};

int count(const std::vector<Millis>& moments, Millis after, Millis to) {
  return static_cast<int>(std::upper_bound(moments.begin(), moments.end(), to) -
                          std::upper_bound(moments.begin(), moments.end(), after));
}

template <int reserve>
void rate_is_kept(const std::vector<Step>& steps) {
  World<Rate<reserve>> world;
  for (const Step& s : steps) world.step(s);
  const std::vector<Millis>& spent = world.spent;
  for (std::size_t first = 0; first < spent.size(); ++first) {
    for (std::size_t last = first; last < spent.size(); ++last) {
      const double rate = kRate * (0.9 + 0.02 * kProcesses * reserve) / 1000;
      const double most = rate * (spent[last] - spent[first]) + world.kWhole;
      RC_ASSERT(static_cast<double>(last - first + 1) <= most + 1e-6);
    }
  }
}

template <int reserve>
void at_once_is_kept(const std::vector<Step>& steps) {
  World<AtOnce<reserve>> world;
  for (const Step& s : steps) {
    world.step(s);
    int in_use = 0;
    for (const auto& a : world.shares) in_use += a.share.in_use();
    RC_ASSERT(in_use <= world.kWhole);
  }
}

template <int reserve>
void attempts_are_kept(const std::vector<Step>& steps) {
  World<Attempts<reserve>> world;
  for (const Step& s : steps) world.step(s);
  for (const Millis end : world.spent) {
    const double rest = kRatio * count(world.requests, end - 2 * kWindow, end);
    RC_ASSERT(count(world.spent, end - kWindow, end) <= world.kWhole + rest + 1e-6);
  }
}

RC_GTEST_PROP(Share, ARateIsKeptOverEveryWindow, ()) {
  const auto steps = *histories();
  rate_is_kept<0>(steps);
  rate_is_kept<1>(steps);
}

RC_GTEST_PROP(Share, NeverMoreAtOnce, ()) {
  const auto steps = *histories();
  at_once_is_kept<0>(steps);
  at_once_is_kept<1>(steps);
}

RC_GTEST_PROP(Share, AttemptsAreKeptInEveryWindow, ()) {
  const auto steps = *histories();
  attempts_are_kept<0>(steps);
  attempts_are_kept<1>(steps);
}

// What the properties above cannot show: that shares give what they should.
TEST(Share, AllThatIsGrantedCanBeSpent) {
  RateShare rate({0, 0});
  rate.set({100, 10}, 0, 1e6);
  AttemptShare attempts(2, 0.1, 1000);
  attempts.set(1, 0);
  attempts.set(3, 0);
  AtOnceShare at_once(2, 500);
  at_once.set(5);
  RateShare fresh({1000, 5});
  EXPECT_EQ(fresh.spend(0, 0), Spent::kReserve);  // one before it may just have spent it
  int spent = 0;
  for (Millis now = 0; now <= 10000; now += 5) spent += rate.spend(now, 1e6) == Spent::kYes;
  EXPECT_NEAR(spent, 1000, 1);
  const auto drain = [](auto& share, Millis now, Millis valid) {
    int n = 0;
    while (share.spend(now, valid) == Spent::kYes) ++n;
    return n;
  };
  EXPECT_EQ(drain(rate, 20000, 1e6), 10);
  EXPECT_EQ(drain(attempts, 999, 1e6), 0);   // the window has not passed since it was raised
  EXPECT_EQ(drain(attempts, 1001, 1e6), 5);  // 3 and the reserve
  for (int n = 0; n < 40; ++n) attempts.taken(1500);
  EXPECT_EQ(drain(attempts, 1600, 1e6), 4);  // a tenth of the requests
  EXPECT_EQ(drain(attempts, 2501, 1e6), 1);  // those of 1001 are out of the window; these are not
  EXPECT_EQ(drain(attempts, 9000, 100), 2);  // without a plan
  EXPECT_EQ(drain(at_once, 0, 1e6), 5);
  EXPECT_EQ(drain(at_once, 500, 1e6), 2);
  EXPECT_EQ(at_once.beyond_reserve(500), 5);
  at_once.set(1);
  for (int n = 0; n < 4; ++n) at_once.end();
  EXPECT_EQ(at_once.spend(600, 1e6), Spent::kShare);
  EXPECT_EQ(at_once.beyond_reserve(600), 1);
  at_once.end();
  EXPECT_EQ(at_once.spend(600, 600), Spent::kReserve);
  EXPECT_EQ(at_once.spend(600, 601), Spent::kYes);
}

}  // namespace
}  // namespace shorelead::fleet
