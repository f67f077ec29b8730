// The names of shorelead::net that the node uses.
#pragma once

#include "net/http.h"
#include "net/loop.h"
#include "net/stream.h"
#include "net/watch.h"

namespace shorelead::node {

using net::Ending;
using net::Field;
using net::Head;
using net::Loop;
using net::Message;
using net::Parser;
using net::Place;
using net::Stream;
using net::Watch;

using net::has_token;
using net::hop_by_hop;
using net::parse_address;
using net::parse_decimal;
using net::parse_whole;
using net::pass_fields;
using net::same_name;
using net::trim;

}  // namespace shorelead::node
