// One question whether a node is ready, on a connection of its own, without holding anybody up. Owns that
// connection; it must never ask twice.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace shorelead::lab {

// Calls back once: true where "GET /-/ready" at that address was answered 200 within a short time.
void ask_ready(boost::asio::io_context& context, const std::string& dial, std::function<void(bool)> answered);

}  // namespace shorelead::lab
