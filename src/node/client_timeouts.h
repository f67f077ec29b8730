// Time-outs of client connections: for idle and for slow clients, and for a client to close after its last
// response. Decides which connections are overdue; the caller closes them.
#pragma once

#include "manage/drain.h"
#include "node/client.h"

namespace shorelead::node {

struct ClientTimeouts {
  // For the first request on a connection, for a whole head, and between two reads of a request: a client
  // that has stopped sending gets an error within 3 s. A body has the time in addition that it takes at the
  // minimum rate.
  Millis request = 2500;
  Millis idle = 300000;        // for the next request
  Millis idle_crowded = 2000;  // the same where many connections are open
  Millis speak = 250;          // after which a new client that sent nothing may be evicted
  Millis sweep = 250;          // how often connections are checked

  // Whether the connection may be evicted when descriptors are short: it has had its response and no further
  // request has begun, or it is new and has sent nothing for `speak`, which a client with a request would
  // have used.
  bool may_evict(const Client& client, Millis now) const;
  // Whether a time-out has passed. `roomy`: descriptors are plentiful, so an idle connection may stay.
  bool overdue(const Client& client, Millis now, manage::DrainState drain, bool roomy) const;

 private:
  // Whether the client has sent nothing for `request`, while this node was reading.
  bool stopped(const Client& client, Millis now) const;
  // Whether the client has sent less than the minimum rate so far. Time in which this node did not read does
  // not count.
  bool slow(const Client& client, Millis now) const;
};

}  // namespace shorelead::node
