// Decides by the number of open descriptors whether a connection may be opened, which one is closed for it,
// and which ones are kept for reuse. Does no I/O and counts nothing itself. Probes and idle connections never
// take descriptors that requests need.
//
// Clients and backends share the descriptors that the node itself does not need. Connections to backends have
// a budget of half of them. Within the budget they are kept for reuse. Beyond it, a connection opened for a
// request replaces the backend connection that has been idle longest, and one opened for a probe is closed
// after it. Clients never take the last eighth, which is reserved for requests. So a node with more backends
// than descriptors keeps the connections that requests use.
#pragma once

namespace shorelead::limits {

struct DescriptorCounts {
  int open = 0;      // of all kinds
  int backends = 0;  // connections to backends
  int probing = 0;   // of these, opened for a probe that is still in progress
};

enum class DescriptorState {
  kPlenty,    // any connection may be opened and kept
  kHoarding,  // backends' connections are near their budget: those of probes are not kept
  kShort,     // only the reserve is free: also, no probes if backends' connections are near their budget
  kOut,       // a connection has to be closed first
};

enum class Purpose { kClient, kRequest, kProbe };

enum class Step {
  kOpen,             // a descriptor is free
  kEvictClient,      // first close the client connection that has been idle longest, or else a backend's
  kEvictBackend,     // first close the backend connection that has been idle longest, or else a client's
  kEvictClientOnly,  // first close the client connection that has been idle longest, or else open none
  kRefuse,           // open none
};

class Descriptors {
 public:
  explicit Descriptors(int limit) : limit_(limit) {}

  DescriptorState state(const DescriptorCounts& counts) const;
  // What to do before a connection is opened. After an eviction the caller asks again, until a descriptor is
  // free.
  Step step(Purpose purpose, const DescriptorCounts& counts) const;
  // Whether a connection to a backend is kept for reuse after a request or a probe.
  bool keep(Purpose purpose, const DescriptorCounts& counts) const;

  int limit() const { return limit_; }
  int backends_budget() const;
  int probing_budget() const;
  int requests_reserve() const;

 private:
  bool backends_near_budget(const DescriptorCounts& counts) const;

  int limit_;
};

const char* name_of(DescriptorState state);

}  // namespace shorelead::limits
