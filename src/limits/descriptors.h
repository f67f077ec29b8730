// Want of descriptors as a state, and what is done in it: who may open a connection, who gives way, which
// connections are kept. Pure: counts in, decisions out. It must never do I/O, count anything itself, or let a
// probe or the hoard of kept connections take what requests need.
//
// The descriptors that are left after the node's own are shared by clients and backends. Backends'
// connections have a budget, half of them. Within it they are kept for reuse; beyond it one that was opened
// for a request pushes out the backends' connection that stood unused for longest, and one that was opened
// for a probe is closed after it. Clients never take the last eighth, which is the requests'. So a node whose
// list is longer than its descriptors keeps the connections that requests use.
#pragma once

namespace shorelead::limits {

struct DescriptorCounts {
  int open = 0;      // of all kinds
  int backends = 0;  // connections to backends
  int probing = 0;   // of these, opened for a probe that is still under way
};

enum class DescriptorState {
  kPlenty,    // any connection may be opened and kept
  kHoarding,  // backends' connections are at their budget: probes keep none
  kShort,     // what is left is for requests and clients: a probe opens one only in an unused client's place
  kOut,       // somebody has to give way first
};

enum class Purpose { kClient, kRequest, kProbe };

enum class Step {
  kOpen,             // there is a descriptor
  kEvictClient,      // first close the client's connection that was unused for longest; if there is none, a
                     // backend's
  kEvictBackend,     // first close the backend's connection that was unused for longest; if there is none, a
                     // client's
  kEvictClientOnly,  // first close such a client's connection; if there is none, it is not to be opened
  kRefuse,           // not to be opened
};

class Descriptors {
 public:
  explicit Descriptors(int most) : most_(most) {}

  DescriptorState state(const DescriptorCounts& counts) const;
  // What to do so that one may be opened; after an eviction it is asked again, until a descriptor is free.
  Step step(Purpose purpose, const DescriptorCounts& counts) const;
  // Whether a connection to a backend is kept that carried a request or a probe.
  bool keep(Purpose purpose, const DescriptorCounts& counts) const;

  int most() const { return most_; }
  int backends_budget() const;
  int probing_budget() const;
  int requests_reserve() const;

 private:
  bool hoarding(const DescriptorCounts& counts) const;

  int most_;
};

const char* name_of(DescriptorState state);

}  // namespace shorelead::limits
