// What the error of a system call on a socket says. Owns the lists of errors that pass: these are no end of a
// connection, and none of them says anything about the peer. Sources: the Linux manual pages connect(2),
// recv(2), send(2), accept(2) and tcp(7).
#pragma once

#include <cerrno>

namespace shorelead::net {

// Makes a call until a signal does not interrupt it; -1 of it is a failure.
template <typename Call>
auto uninterrupted(Call call) {
  while (true) {
    const auto result = call();
    if (result >= 0 || errno != EINTR) return result;
  }
}

// Of recv, send and sendmsg: the call could not be carried out now, and the connection is as it was.
inline bool is_transient(int error) {
  switch (error) {
    case EINTR:
    case EAGAIN:
#if EWOULDBLOCK != EAGAIN
    case EWOULDBLOCK:
#endif
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

// Of a connect that does not block: the connection is on its way, or is up.
inline bool connect_in_progress(int error) {
  return error == EINPROGRESS || error == EALREADY || error == EISCONN;
}

// Of a connect that does not block and failed at once: the peer's machine has turned it down. Only over
// loopback can it be heard so soon. Any other error is of this machine (ports, routes, memory, descriptors, a
// filter).
inline bool connection_refused(int error) { return error == ECONNREFUSED || error == ECONNRESET; }

// Of accept4: whoever was first in the queue is gone, or the network failed them, which Linux passes on here;
// the others still wait.
inline bool is_per_connection(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case EPERM:
    case ETIMEDOUT:
      return true;
    default:
      return false;
  }
}

// Of accept4 and socket: there is no descriptor or no memory for one more.
inline bool lacks_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace shorelead::net
