#include "lab/room_claims.h"

#include <algorithm>
#include <cstdio>

#include "lab/evenness.h"

namespace shorelead::lab {
namespace {

constexpr const char* kNoRoom = "error=destination_unavailable";  // RFC 9209
constexpr Millis kNews = 1000;       // so old may be what a process knows of boxes
constexpr double kTilt = 4;          // standard deviations: chance comes to that in 1 of 30,000 comparisons
constexpr double kLargePart = 0.25;  // of a rank's offered load; a trial that steps back comes to half of it
constexpr int kWindows = 4;          // in the time that shedding by plan may take
constexpr int kLeastOffered = 20;

std::string rounded(double value, const char* form) {
  char text[32];
  std::snprintf(text, sizeof text, form, value);
  return text;
}

}  // namespace

bool says_no_room(const Asked& asked) {
  return asked.end == ClientEnd::kAnswered && asked.said.find(kNoRoom) != std::string::npos;
}

bool RoomClaims::comparable(std::size_t high, std::size_t low) const {
  const RankRule& a = rules_.ranks[high];
  const RankRule& b = rules_.ranks[low];
  return a.rank < b.rank && a.scope.pool == b.scope.pool;
}

bool RoomClaims::believed(const Asked& asked, int pool) const {
  return press_.crowded(pool, asked.sent - kNews, asked.ended);
}

// Of first tries alone: a client's repeats share their fate with the first.
void RoomClaims::judge_evenness(const std::string& who, const std::vector<Decided>& list) {
  for (std::size_t high = 0; high < rules_.ranks.size(); ++high) {
    for (std::size_t low = 0; low < rules_.ranks.size(); ++low) {
      if (!comparable(high, low)) continue;
      Evenness evenness;
      const Asked* one = nullptr;
      for (const Decided& d : list) {
        if (d.asked->tries_before > 0 || !(d.taken || d.no_room)) continue;
        if (d.rule == high) evenness.first(d.at, d.no_room);
        if (d.rule == low) evenness.second(d.at, d.no_room);
        if (d.rule == high && d.no_room) one = d.asked;
      }
      const double tilt = evenness.tilt();
      if (tilt < kTilt) continue;
      findings_.add(Breach::kShedOrder, one->id, one->sent,
                    "of rank " + std::to_string(rules_.ranks[high].rank) + " refused for want of room by " +
                        who + " more often than of rank " + std::to_string(rules_.ranks[low].rank) +
                        " at the same moments, by " + rounded(tilt, "%.1f") + " standard deviations");
    }
  }
}

void RoomClaims::judge_lasting(std::vector<Decided> all) {
  std::sort(all.begin(), all.end(), [](const Decided& a, const Decided& b) { return a.at < b.at; });
  const Millis window = rules_.shed_within / kWindows;
  const Millis first = view_.run.began + rules_.shed_within;
  struct Count {
    int offered = 0, taken = 0, met_full = 0;
    const Asked* one = nullptr;
  };
  std::size_t begin = 0;
  for (Millis to = first; to <= view_.run.ended; to += window) {
    std::vector<Count> counts(rules_.ranks.size());
    while (begin < all.size() && all[begin].at < to - window) ++begin;
    for (std::size_t n = begin; n < all.size() && all[n].at < to; ++n) {
      Count& c = counts[all[n].rule];
      const bool met_full = says_no_room(*all[n].asked);
      ++c.offered, c.met_full += met_full ? 1 : 0, c.taken += all[n].taken && !met_full ? 1 : 0;
      if (met_full) c.one = all[n].asked;
    }
    for (std::size_t high = 0; high < counts.size(); ++high) {
      const Count& h = counts[high];
      if (h.offered < kLeastOffered || h.met_full <= kLargePart * h.offered) continue;
      if (!press_.crowded_throughout(rules_.ranks[high].scope.pool, to - rules_.shed_within, to)) continue;
      for (std::size_t low = 0; low < counts.size(); ++low) {
        const Count& l = counts[low];
        const double allowed = (rules_.shed_share + rules_.ranks[low].floor) * l.offered;
        if (!comparable(high, low) || l.offered < kLeastOffered || l.taken <= allowed) continue;
        findings_.add(Breach::kShedOrder, h.one->id, h.one->sent,
                      "of rank " + std::to_string(rules_.ranks[high].rank) + " " +
                          std::to_string(h.met_full) + " of " + std::to_string(h.offered) +
                          " met full boxes up to " + view_.at(to) +
                          ", long after the shortage began, while of "
                          "rank " +
                          std::to_string(rules_.ranks[low].rank) + " " + std::to_string(l.taken) + " of " +
                          std::to_string(l.offered) + " were taken");
        break;
      }
    }
  }
}

}  // namespace shorelead::lab
