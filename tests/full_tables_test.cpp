// Which idle connections are closed when a connection to a backend could not be established: none.
#include <gtest/gtest.h>

#include "node/policy_host.h"

namespace shorelead::node {
namespace {

Settings one_class() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0] = {.effect = Effect::kSafe, .aim = 400, .deadline = 1000};
  settings.max_attempts = 3;
  settings.connect_timeout = 250;
  settings.idle_timeout = 5000;
  settings.streams_per_connection = 1;
  return settings;
}

// When a backend process had died or its network was cut, the idle connections to all backends used to be
// closed, which caused hundreds of new handshakes although only the connections to that backend were of no
// use.
TEST(FullTables, AFailedConnectionClosesNoOthers) {
  for (const bool reloaded : {false, true}) {
    HostSettings host;
    host.classes = {"look"};
    PolicyHost policy_host(one_class(), host, 7);
    List list;
    list.version = 1;
    list.whole = true;
    for (const char* name : {"s-1", "s-2", "s-3"}) {
      ListedBackend backend;
      backend.host = name;
      backend.health = "ready";
      backend.dial = std::string("127.0.0.1:900") + name[2];
      list.backends.push_back(backend);
    }
    Millis now = 1000;
    policy_host.start(list, now);
    policy_host.report_list(list, ListSource::kWatch, now);
    if (reloaded) policy_host.adopt(one_class(), host, now);
    std::size_t sent = 0;
    for (RequestId request = 1; request <= 30; ++request, now += 5) {
      Choice choice = policy_host.pick(request, {.due = now + 1000}, now);
      for (; choice.kind == Choice::Kind::kSend; ++sent) {
        const Ending ending = sent % 2 == 0 ? Ending::kRefused : Ending::kConnectTimeout;
        choice = policy_host.report(request, choice.attempt, ending, 1, nullptr, now);
        EXPECT_TRUE(policy_host.tick(now).close_idle.empty()) << name_of(ending);
      }
    }
    EXPECT_GT(sent, 3U);
  }
}

}  // namespace
}  // namespace shorelead::node
