// The ways in which a connection, or an attempt on one, can end, and their names in logs. The policy host
// maps them to outcomes for the policy.
#pragma once

namespace shorelead::net {

enum class Ending {
  // A complete response arrived.
  kServed,    // 200
  kErred,     // 500, or any other response that does not rule out that the request was processed
  kRejected,  // 503 or 504 that says the request was not processed
  // No response, and the request was not written completely.
  kRefused,         // the peer refused the connection, or there is no route to it
  kConnectTimeout,  // the connection was not established in time
  kNoDescriptor,    // no descriptor was left
  kLocalFailure,    // this machine could not connect: no port, no route, no memory
  kBrokenUnsent,    // the connection broke
  kStoppedUnsent,   // this node gave up
  // No response, and the request was written completely.
  kBroken,     // the connection broke or closed, also in the middle of a response
  kMalformed,  // the data received is not a valid response
  kTimeout,    // no response arrived in time
  kCancelled,  // this node gave up
  // No request was in progress, or this node closed the connection.
  kPeerClosed,  // the peer closed between messages, or a client disconnected
  kIdle,        // idle for too long
  kEvicted,     // closed in favour of another connection
  kSilent,      // a watch, or a client without a request, sent nothing in time
  kWithdrawn,   // its backend must get no new requests
  kUnasked,     // data arrived without a request
  kDone,        // closed as announced, after the last response
  kNotSent,     // an attempt without a connection: its request or its time ended first
};

const char* name_of(Ending ending);

}  // namespace shorelead::net
