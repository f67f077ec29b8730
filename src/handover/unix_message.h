// Sends and receives bytes over a Unix socket, optionally with a file descriptor (SCM_RIGHTS, unix(7)). The
// caller owns all descriptors.
#pragma once

#include <sys/types.h>

#include <array>
#include <string_view>

namespace shorelead::handover {

// Sends without blocking; true if all bytes were sent. `passed`: a descriptor to send, or -1.
bool send_with(int to, std::string_view text, int passed);

// Returns the number of bytes received, 0 at the end, or -1 with errno. Sets `passed` to a received
// descriptor if it is still -1.
ssize_t receive_with(int from, std::array<char, 4096>& into, int& passed);

}  // namespace shorelead::handover
