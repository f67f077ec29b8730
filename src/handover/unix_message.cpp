#include "handover/unix_message.h"

#include <sys/socket.h>

#include <cstring>

#include "net/call_errors.h"

namespace shorelead::handover {

bool send_with(int to, std::string_view text, int passed) {
  iovec part{const_cast<char*>(text.data()), text.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  if (passed >= 0) {
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr* const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(head), &passed, sizeof passed);
  }
  return net::uninterrupted([&] { return ::sendmsg(to, &message, MSG_NOSIGNAL | MSG_DONTWAIT); }) ==
         static_cast<ssize_t>(text.size());
}

ssize_t receive_with(int from, std::array<char, 4096>& into, int& passed) {
  iovec part{into.data(), into.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t got = net::uninterrupted([&] { return ::recvmsg(from, &message, MSG_CMSG_CLOEXEC); });
  for (cmsghdr* head = got > 0 ? CMSG_FIRSTHDR(&message) : nullptr; head != nullptr;
       head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level == SOL_SOCKET && head->cmsg_type == SCM_RIGHTS && passed < 0)
      std::memcpy(&passed, CMSG_DATA(head), sizeof passed);
  }
  return got;
}

}  // namespace shorelead::handover
