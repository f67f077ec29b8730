// Classifies the errors of system calls on sockets. Transient errors do not end a connection, and none of
// them says anything about the peer. Sources: the Linux manual pages connect(2), recv(2), send(2), accept(2)
// and tcp(7).
#pragma once

#include <cerrno>

namespace shorelead::net {

// Repeats a system call while a signal interrupts it; returns its result, -1 for a failure.
template <typename Call>
auto uninterrupted(Call call) {
  while (true) {
    const auto result = call();
    if (result >= 0 || errno != EINTR) return result;
  }
}

// For recv, send and sendmsg: the call cannot be done now; the connection is unchanged.
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

// For a non-blocking connect: the connection is being established, or is established.
inline bool connect_in_progress(int error) {
  return error == EINPROGRESS || error == EALREADY || error == EISCONN;
}

// For a non-blocking connect that failed at once: the peer refused it, which only loopback reports so early.
// Any other error comes from this machine (ports, routes, memory, descriptors, a packet filter).
inline bool connection_refused(int error) { return error == ECONNREFUSED || error == ECONNRESET; }

// For accept4: the first connection in the queue has failed, as Linux reports its network errors here; the
// other connections still wait.
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

// For accept4 and socket: no descriptor or no memory is left.
inline bool lacks_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace shorelead::net
