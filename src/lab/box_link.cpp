#include "lab/box_link.h"

#include <sys/socket.h>

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kBacklog = 512;
constexpr int kFillers = 3;  // a queue of length 0 still takes one

}  // namespace

Box::Link::Link(World& world, Box& box, int node, const std::string& address, unsigned short port)
    : world_(world), box_(box), node_(node), acceptor_(world.context) {
  const tcp::endpoint at(asio::ip::make_address(address), port);
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(kBacklog);
}

void Box::Link::accept() {
  acceptor_.async_accept([this, box = box_.shared_from_this()](const error_code& error, tcp::socket socket) {
    if (error || !box->up_) return;
    ++world_.connections;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(box, *this, std::move(socket));
    connections_.insert(connection);
    if (state_.hole) return;  // it came up at the last moment
    connection->read();
    accept();
  });
}

void Box::Link::hole(bool on) {
  if (on == state_.hole || !acceptor_.is_open()) return;
  state_.hole = on;
  error_code ignored;
  if (on) {
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    stuffing_.reserve(kFillers);
    for (int n = 0; n < kFillers; ++n) {
      tcp::socket& filler = stuffing_.emplace_back(world_.context, tcp::v4());
      // A blocking connect of Asio's would wait for what never comes up.
      filler.async_connect(acceptor_.local_endpoint(), [](const error_code&) {});
    }
    return;
  }
  stuffing_.clear();
  for (const auto& connection : connections_) connection->die();
  connections_.clear();
  ::listen(acceptor_.native_handle(), kBacklog);
  accept();
}

void Box::Link::close() {
  error_code ignored;
  stuffing_.clear();
  acceptor_.close(ignored);
  for (const auto& connection : connections_) connection->die();
  connections_.clear();
}

}  // namespace shorelead::lab
