// Every way in which a connection, or what was under way on one, can end, and its name in logs. What it means
// to the module is said in one place, the facade.
#pragma once

namespace shorelead::net {

enum class Ending {
  // An answer came whole.
  kServed,    // 200
  kErred,     // 500, or any other answer that does not exclude that the request ran
  kRejected,  // 503 or 504 that says the request was not processed
  // No answer, and the request's last byte was never written.
  kRefused,         // the other side's machine turned the connection down, or no way leads there
  kConnectTimeout,  // the connection did not come up in time
  kNoDescriptor,    // this node had no descriptor left for it
  kLocalFailure,    // this machine could not begin it: no port, no route, no memory
  kBrokenUnsent,    // the connection broke
  kStoppedUnsent,   // this node gave up
  // No answer, and the request was written whole.
  kBroken,     // the connection broke or ended, within the answer too
  kMalformed,  // what came is no answer
  kTimeout,    // nothing came in time
  kCancelled,  // this node gave up
  // Nothing was under way, or this side ended it.
  kPeerClosed,  // the other side closed between messages, or a client went away
  kIdle,        // stood idle for long enough
  kEvicted,     // made room for another
  kSilent,      // a watch, or a client that never asked, went without a sign of life
  kWithdrawn,   // nothing new may go to its backend
  kUnasked,     // something came on it that nobody had asked for
  kDone,        // closed as agreed, after the last answer
  kNotSent,     // an attempt that never got a connection: its request was over or its time was up
};

const char* name_of(Ending ending);

}  // namespace shorelead::net
