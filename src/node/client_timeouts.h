// For how long a client may stand unused, be slow, or keep its connection after its last answer. Owns these
// times and what they mean for a connection; it must never close one.
#pragma once

#include "manage/drain.h"
#include "node/client.h"

namespace shorelead::node {

struct ClientTimeouts {
  // For the first request on a connection, for the head of one that has begun, and for the next bytes of one:
  // who has stopped is owed an error within 3 s. A body has as much longer as it takes at the least rate.
  // Slower clients than those of two seconds for a head are taken for dead.
  Millis request = 2500;
  Millis idle = 300000;        // for the next one
  Millis idle_crowded = 2000;  // the same where many connections are open
  Millis speak = 250;          // a new client that has said nothing for so long gives way where room is short
  Millis sweep = 250;          // how often all these are looked after

  // Little is lost if it is closed now: it had its answer and asks for nothing yet, or it has connected and
  // said nothing for longer than `speak`, as one does who has something to ask.
  bool dispensable(const Client& client, Millis now) const;
  // Whether its time is up, by this node's drain and whether there is plenty of room.
  bool overdue(const Client& client, Millis now, manage::DrainState drain, bool roomy) const;

 private:
  // Whether it has brought nothing for so long, though it was free to.
  bool stopped(const Client& client, Millis now) const;
  // Whether it brings less than the least rate, for what it has brought so far; while this node holds it
  // back, time stands.
  bool slow(const Client& client, Millis now) const;
};

}  // namespace shorelead::node
