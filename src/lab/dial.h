// "a.b.c.d:port" as an endpoint, for all of the lab's connections, and the addresses that are this process's
// own. It must never look a name up.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace shorelead::lab {

// Throws where the text is no address with a port.
inline boost::asio::ip::tcp::endpoint endpoint_of(const std::string& dial) {
  const std::size_t colon = dial.rfind(':');
  return {boost::asio::ip::make_address(dial.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(dial.substr(colon + 1)))};
}

// Loopback addresses that no other lab on this machine has, so that much that listens finds ports and labs
// side by side do not meet: a node that is away for a while finds its port free. Throws where all blocks are
// taken.
std::string loopback(int b, int c);

}  // namespace shorelead::lab
