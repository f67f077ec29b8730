// The decision module as the network code sees it: one asks for a pick, reports how things ended and calls
// tick() when it is time. It owns the module, its timers, the numbers of backends and the count of attempts.
// It must never do I/O, read a clock or decide; and the module's events and actions stay behind it.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "estimate/room.h"
#include "manage/bans.h"
#include "membership/member.h"
#include "node/net.h"
#include "policy/policy.h"
#include "settings/settings.h"
#include "subset/subset.h"

namespace shorelead::node {

struct Ask {
  int request_class = 0;
  int tenant = 0;
  Millis due = 0;
  double expected_work = -1;
  bool client_retry = false;
  double worth = -1;  // beside the dearest, by the fleet's order; negative = its class's
  bool body_comes =
      false;  // by parts: its time counts from body_whole(), and until then there is no due time
};

// What is to be done about a request now.
struct Choice {
  enum class Kind {
    kHold,    // nothing yet; a later tick() tells
    kSend,    // send it to `backend`, until `until`
    kRefuse,  // answer that trying again is harmless, after `wait` if that is not 0
    kFail,    // answer that it failed
    kPass,    // pass on the answer that has just been reported
    kOver,    // nothing: it had its answer before
  };
  Kind kind = Kind::kHold;
  RequestId request = 0;
  BackendId backend = 0;
  int attempt = 0;
  Millis until = 0;
  Millis wait = 0;
};

// What has fallen due, in the order in which it is to be done.
struct Errands {
  std::vector<Choice> choices;
  std::vector<std::pair<RequestId, int>> call_off;  // attempts that nobody waits for any more
  std::vector<BackendId> probes;
  std::vector<BackendId> unwanted;  // nothing new may go there, and no connection is to be kept
  std::vector<BackendId> crowded;   // connections there that stand unused are to be closed
  bool watch = false;               // (re)open the watch on the list
  Millis next = 0;                  // call tick() again by then; 0 = no need
};

using ListedBackend = membership::Member;

struct List {
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<ListedBackend> backends;
};

// How the node works with a fleet too large for it; all off unless set.
struct FleetOptions {
  std::optional<subset::Options> subset;
  subset::Place place;

  bool operator==(const FleetOptions&) const = default;
};

struct SubsetCounters {
  std::size_t fleet = 0;
  std::size_t members = 0;
  std::size_t borrowed = 0;
  int lots = 0;
  std::uint64_t drawings = 0;
  std::uint64_t changes = 0;  // members taken in or given up
};

enum class ListSource { kStored, kWatch };

class Facade {
 public:
  Facade(const Settings& settings, const HostSettings& host, std::uint64_t seed)
      : Facade(settings, host, seed, FleetOptions()) {}
  Facade(const Settings& settings, const HostSettings& host, std::uint64_t seed, const FleetOptions& fleet);

  // Call first, with the list that the node had before; empty where it had none.
  void start(const List& known, Millis now);

  // New settings count from now on; says the number that each of their classes has here.
  std::vector<int> adopt(const Settings& settings, const HostSettings& host, Millis now);

  Choice pick(RequestId request, const Ask& ask, Millis now);
  Choice report(RequestId request, int attempt, Ending ending, Millis elapsed, const LoadReport* load,
                Millis now);
  void report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load, Millis now);
  // Says which backends nothing new may go to from now on that it might have gone to before.
  std::vector<BackendId> report_list(const List& list, ListSource source, Millis now);
  // What is out by hand counts from now on, whatever the list says. Says who is unwanted, as report_list()
  // does.
  std::vector<BackendId> report_bans(const manage::BanSet& bans, Millis now);
  void report_watch_ended(Millis now);
  void body_whole(RequestId request, Millis due);
  void report_client_gone(RequestId request, Millis now);
  Errands tick(Millis now);

  // What a fleet allows of further attempts: how many are left now, and that one was made, or wanted and not
  // left.
  struct Further {
    std::function<double()> left;
    std::function<void()> made;
  };
  // From now on; with empty functions only the module's own bound counts.
  void bound_attempts(Further further, Millis now);
  double room() const { return room_.value(); }  // share of the backends' capacity that is unused

  // Set by the host: called when something for tick() came up outside of it.
  void on_errand(std::function<void()> wake) { wake_ = std::move(wake); }

  const std::string& dial(BackendId backend) const { return backends_.at(backend).dial; }
  const std::string& host(BackendId backend) const { return backends_.at(backend).host; }
  bool wanted(BackendId backend) const { return backends_.at(backend).ready; }
  std::size_t ready() const { return ready_; }  // of those known to the module
  std::size_t backends() const { return subset_ ? subset_->fleet() : numbers_.size(); }
  std::string list_text() const;              // in discovery's form
  bool lists(const std::string& host) const;  // whether the list names it now
  std::size_t listed() const;                 // how many it names
  // Of these, how many are avoided now: out by hand, draining, or passed over by the module's choice.
  std::size_t skipped(Millis now) const;
  std::optional<SubsetCounters> subset_counters() const;
  std::size_t open_requests() const { return requests_.size(); }

 private:
  struct Known {
    std::string host;  // empty: the number is free
    std::string dial;
    ListedBackend listed;  // as the list last had it
    bool ready = false;
    bool gone = false;
    bool leaving = false;  // its number is to be given back
    int uses = 0;          // probes under way, and attempts of open requests, that name it
    int silences = 0;      // in a row
  };
  struct Open {
    Millis due = 0;
    std::vector<BackendId> attempts;
    int out = 0;
    int most_attempts = 1;  // as the settings said when it came
    bool over = false;
  };

  void feed(const Event& event, Millis now);
  void handle(const Event& event, Millis now);
  void perform(const Action& action, Millis now);
  void start_attempt(const SendAttempt& send, Millis now);
  void answer(RequestId request, Choice choice);
  Choice take(RequestId request, Choice::Kind otherwise);
  int zone_number(const std::string& name);
  std::optional<BackendId> number_of(const ListedBackend& listed);
  void give_back_numbers();
  // Takes entries in and tells the module.
  std::vector<BackendId> take(const std::vector<const ListedBackend*>& entries, ListKind kind, Millis now);
  BackendState state_with_bans(const ListedBackend& listed) const;
  void leave(BackendId number);
  bool set_ready(Known& known, bool ready);
  void settle_subset(ListKind kind, Millis now);
  void heard(BackendId backend, Outcome outcome);
  void erase(std::unordered_map<RequestId, Open>::iterator it);

  Settings settings_;  // with all classes that ever were
  std::vector<std::string> class_names_;
  std::vector<std::string> zones_;
  Policy policy_;
  std::vector<Known> backends_;
  manage::BanSet bans_;
  std::unordered_map<std::string, BackendId> numbers_;
  std::vector<BackendId> free_;
  std::size_t ready_ = 0;
  std::vector<BackendId> leaving_;  // numbers of those that are gone, to be given back
  subset::Place place_;
  std::optional<subset::Subset> subset_;
  std::unordered_map<std::string, ListedBackend> fleet_;  // all that are listed, where subsets are drawn
  Millis settled_at_ = 0;
  bool unsettled_ = false;
  SubsetCounters subset_counters_;
  std::unordered_map<RequestId, Open> requests_;
  std::multimap<Millis, std::uint64_t> timers_;
  std::set<std::pair<Millis, RequestId>> deadlines_;
  Further further_;
  double told_left_ = std::numeric_limits<double>::infinity();
  estimate::Room room_;
  std::vector<Event> unsent_;  // attempts that could not be begun, to be told to the module
  Errands errands_;
  std::function<void()> wake_;
};

}  // namespace shorelead::node
