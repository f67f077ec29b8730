// A reload that fails half way, when a pool is created: every change made so far has to be rolled back.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "crossings/settings_random.h"
#include "node/server.h"

namespace shorelead::node {
namespace {

// Returns what is logged during `act`.
std::string log_of(const std::function<void()>& act) {
  std::ostringstream out;
  const auto before = spdlog::default_logger();
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(out)));
  act();
  spdlog::set_default_logger(before);
  return out.str();
}

// Returns the value that follows `word` in the log text.
std::string counter_in(const std::string& text, const std::string& word) {
  const std::size_t at = text.find(word);
  if (at == std::string::npos) return "none";
  const std::size_t from = at + word.size();
  return text.substr(from, text.find_first_of(" \n", from) - from);
}

TEST(SettingsReload, AReloadThatFailsInAPoolChangesNothing) {
  RandomSource random(7);
  Config first = parse_config(random_settings(random).text(), {});
  first.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
  Loop loop;
  Server server(loop, first);
  const std::string before = log_of([&server] { server.log_counters(); });

  Config next = first;
  next.limits.sockets = 4096;
  next.pools = pools_of(first);
  PoolConfig invalid = next.pools.front();
  invalid.name = "spoilt";
  invalid.discovery.reset();
  invalid.view = membership::Options();
  invalid.registry =
      membership::registry::Spec{{Poco::Net::SocketAddress("127.0.0.1", 9)},
                                 "/boxes/",
                                 net::TlsFiles{"/nowhere/ca", "/nowhere/cert", "/nowhere/key", ""}};
  next.pools.push_back(invalid);
  const std::string log = log_of([&] { server.reload([&next] { return next; }); });
  EXPECT_NE(log.find("not taken up"), std::string::npos) << log;

  const std::string after = log_of([&server] { server.log_counters(); });
  EXPECT_EQ(counter_in(after, " reloads="), "0");
  EXPECT_EQ(counter_in(after, " bad_reloads="), "1");
  EXPECT_EQ(counter_in(after, " generation="), counter_in(before, " generation="));
  EXPECT_EQ(counter_in(after, "descriptors state=plenty most="),
            counter_in(before, "descriptors state=plenty most="));
  EXPECT_EQ(counter_in(after, " backends_budget="), counter_in(before, " backends_budget="));
}

}  // namespace
}  // namespace shorelead::node
