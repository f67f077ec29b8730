// A reload that fails half way, when a pool is made: whatever it had told already is as it was.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "crossings/settings_random.h"
#include "node/server.h"

namespace shorelead::node {
namespace {

// What the log says when `act` is done, one line after the other.
std::string logged(const std::function<void()>& act) {
  std::ostringstream out;
  const auto before = spdlog::default_logger();
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(out)));
  act();
  spdlog::set_default_logger(before);
  return out.str();
}

// The figure behind a word in it.
std::string figure(const std::string& text, const std::string& word) {
  const std::size_t at = text.find(word);
  if (at == std::string::npos) return "none";
  const std::size_t from = at + word.size();
  return text.substr(from, text.find_first_of(" \n", from) - from);
}

TEST(SettingsReload, WhatCannotBeTakenUpLeavesAllAsItWas) {
  Chance chance(7);
  Config first = parse_config(made(chance).text(), {});
  first.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
  Loop loop;
  Server server(loop, first);
  const std::string before = logged([&server] { server.log_counters(); });

  Config next = first;
  next.limits.sockets = 4096;
  next.pools = pools_of(first);
  PoolConfig spoilt = next.pools.front();
  spoilt.name = "spoilt";
  spoilt.discovery.reset();
  spoilt.view = membership::Options();
  spoilt.registry =
      membership::registry::Spec{{Poco::Net::SocketAddress("127.0.0.1", 9)},
                                 "/boxes/",
                                 net::TlsFiles{"/nowhere/ca", "/nowhere/cert", "/nowhere/key", ""}};
  next.pools.push_back(spoilt);
  const std::string words = logged([&] { server.reload([&next] { return next; }); });
  EXPECT_NE(words.find("not taken up"), std::string::npos) << words;

  const std::string after = logged([&server] { server.log_counters(); });
  EXPECT_EQ(figure(after, " reloads="), "0");
  EXPECT_EQ(figure(after, " bad_reloads="), "1");
  EXPECT_EQ(figure(after, " generation="), figure(before, " generation="));
  EXPECT_EQ(figure(after, "descriptors state=plenty most="),
            figure(before, "descriptors state=plenty most="));
  EXPECT_EQ(figure(after, " backends_budget="), figure(before, " backends_budget="));
}

}  // namespace
}  // namespace shorelead::node
