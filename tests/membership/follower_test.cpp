// Following a registry: its messages, and the follower and the view against a whole store in simulated time,
// by property: cuts, compactions, lagging members, deaf watches, restarts with and without history.
#include "membership/registry/follower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "lab/key_store.h"

namespace shorelead::membership::registry {
namespace {

const std::string kPrefix = "/boxes/";

std::string value(const std::string& dial, const std::string& health, Millis started) {
  return "{\"dial\":\"" + dial + "\",\"health\":\"" + health + "\",\"born_ms\":" + std::to_string(started) +
         "}";
}

TEST(Messages, Base64RoundTrip) {
  EXPECT_EQ(base64(""), "");
  EXPECT_EQ(base64("f"), "Zg==");
  EXPECT_EQ(base64("fo"), "Zm8=");
  EXPECT_EQ(base64("foobar"), "Zm9vYmFy");
  for (const char* bad : {"Zg=", "Zg==Zg==", "Z===", "Z!==", "=Zg="}) EXPECT_FALSE(from_base64(bad)) << bad;
}
RC_GTEST_PROP(Messages, AnyBytesSurviveBase64, (const std::string& bytes)) {
  RC_ASSERT(from_base64(base64(bytes)) == bytes);
}

TEST(Messages, PrefixEndIsTheNextKey) {
  EXPECT_EQ(prefix_end("/a"), "/b");
  EXPECT_EQ(prefix_end("a\xff"), "b");
  EXPECT_EQ(prefix_end("\xff\xff"), std::string(1, '\0'));
}

// Valid messages are parsed, with numbers in either form; others are rejected with a cause, never skipped.
TEST(Messages, ValidMessagesAreParsedAndOthersRejectedWithACause) {
  std::string cause;
  const auto page = parse_page(
      R"({"header":{"cluster_id":"7","member_id":"2","revision":"12"},"kvs":[{"key":"L2E=","create_revision":"3","mod_revision":9,"value":"e30="}],"more":true,"count":"4"})",
      cause);
  ASSERT_TRUE(page) << cause;
  EXPECT_EQ(page->header.revision, 12U);
  EXPECT_EQ(page->items.at(0).key, "/a");
  EXPECT_EQ(page->items.at(0).value, "{}");
  EXPECT_EQ(page->items.at(0).revision, 9U);
  EXPECT_TRUE(page->more);
  EXPECT_EQ(page->count, 4U);
  const auto line = parse_line(
      R"({"result":{"header":{"cluster_id":"7","revision":"12"},"events":[{"kv":{"key":"L2E=","mod_revision":"12"}},{"type":"DELETE","kv":{"key":"L2I=","mod_revision":"11"}}]}})",
      cause);
  ASSERT_TRUE(line) << cause;
  EXPECT_FALSE(line->events.at(0).deleted);
  EXPECT_TRUE(line->events.at(1).deleted);
  const std::pair<const char*, const char*> bad_pages[] = {
      {"", "broken JSON"},
      {"[]", "not a JSON object"},
      {"{}", "no header"},
      {R"({"header":{"revision":"x"}})", "revision is not a whole number"},
      {R"({"header":{"revision":"-1"}})", "revision is not a whole number"},
      {R"({"header":{},"kvs":{}})", "kvs is not a list"},
      {R"({"header":{},"kvs":[3]})", "a key is not an object"},
      {R"({"header":{},"kvs":[{"key":"?"}]})", "key is not in base64"},
      {R"({"header":{},"more":1})", "more is neither"}};
  for (const auto& [text, words] : bad_pages) {
    EXPECT_FALSE(parse_page(text, cause)) << text;
    EXPECT_NE(cause.find(words), std::string::npos) << text << ": " << cause;
  }
  const std::pair<const char*, const char*> bad_lines[] = {
      {R"({"error":{"message":"no leader"}})", "the watch failed: no leader"},
      {R"({"result":3})", "no result"},
      {R"({"result":{"header":{},"events":3}})", "events is not a list"},
      {R"({"result":{"header":{},"events":[{}]}})", "an event has no key"},
      {R"({"result":{"header":{},"events":[{"type":"MOVE","kv":{}}]}})", "unknown type"}};
  for (const auto& [text, words] : bad_lines) {
    EXPECT_FALSE(parse_line(text, cause)) << text;
    EXPECT_NE(cause.find(words), std::string::npos) << text << ": " << cause;
  }
  const std::pair<const char*, const char*> bad_backends[] = {
      {"{}", "dial is missing"},
      {R"({"dial":"a:1"})", "health is missing"},
      {R"({"dial":"a:1","health":"ready","block":1.5})", "block is not a whole number"},
      {R"({"dial":"a:1","health":"ready","share":0})", "share is out of range"},
      {R"({"dial":"a:1","health":"ready","born_ms":-5})", "born_ms is out of range"}};
  for (const auto& [text, words] : bad_backends) {
    EXPECT_FALSE(parse_member("b", text, cause)) << text;
    EXPECT_NE(cause.find(words), std::string::npos) << text << ": " << cause;
  }
  std::string deep(200000, '[');
  EXPECT_FALSE(parse_page(std::move(deep), cause));
}

RC_GTEST_PROP(Messages, BackendValueRoundTrip, ()) {
  Member m;
  m.host = "h";
  m.dial = *rc::gen::element<std::string>("1.2.3.4:5", "a\"b", "\\");
  m.health = *rc::gen::element<std::string>("ready", "draining", "odd");
  m.site = *rc::gen::element<std::string>("", "a", "z\n");
  m.cell = *rc::gen::inRange(0, 1000);
  m.size = *rc::gen::element(1.0, 0.5, 2.25);
  m.started = *rc::gen::inRange(0, 1000000);
  std::string cause;
  const auto read = parse_member("h", member_value(m), cause);
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == m);
}

// ---- against a store ----

// The registry's members with one store: each answers as of some recent revision.
struct World {
  lab::KeyStore store;
  std::vector<std::uint64_t> lag{0, 0, 0};
  Millis now = 0;

  std::uint64_t seen_by(int endpoint) const {
    const std::uint64_t behind = lag[static_cast<std::size_t>(endpoint)];
    return store.revision() > behind ? store.revision() - behind : 1;
  }
  Header header(int endpoint) const {
    return {store.cluster(), static_cast<std::uint64_t>(endpoint), seen_by(endpoint)};
  }
  static KeyValue item(const std::string& key, const lab::StoredKey& stored) {
    return {key, stored.value, stored.changed};
  }
  std::optional<Page> range(int endpoint, const std::string& from, std::size_t limit, std::uint64_t revision,
                            std::uint64_t since) const {
    const std::uint64_t at = revision > 0 ? revision : seen_by(endpoint);
    if (at < store.compacted() || at > seen_by(endpoint)) return std::nullopt;
    const auto found = store.range(from, prefix_end(kPrefix), limit, at, since);
    Page page;
    page.header = header(endpoint);
    for (const auto& [key, stored] : found.items) page.items.push_back(item(key, stored));
    page.more = found.more;
    page.count = found.count;
    return page;
  }
};

// One client in that world, run step by step.
struct Following {
  explicit Following(World& world, std::uint64_t seed, const Options& options, std::size_t page)
      : world(world), view(options), follower(view, 0, kPrefix, 3, seed, [page] {
          FollowerOptions o;
          o.page = page;
          return o;
        }()) {}

  // Makes the follower's next call if it is due; extracts the values from the node's own request bodies.
  void act() {
    if (open) return;
    const Follower::Call call = follower.next();
    if (call.at > world.now) return;
    endpoint = call.endpoint;
    if (call.kind == Follower::Call::Kind::kWatch) {
      open = true;
      created = false;
      deaf = false;
      sent = number_in(call.body, "start_revision") - 1;
      return;
    }
    const std::uint64_t revision = number_in(call.body, "revision");
    const auto page = world.range(endpoint, key_in(call.body), number_in(call.body, "limit"), revision, 0);
    if (!page) {
      follower.range_failed(true, world.now);
      return;
    }
    take(follower.page(*page, world.now));
    if (follower.must_close()) follower.ended(world.now);
  }

  // Delivers up to `most` changes on the watch, perhaps in fragments.
  void deliver(std::size_t most, bool fragment) {
    if (!open || deaf) return;
    if (!created) {
      created = true;
      WatchLine line;
      line.header = world.header(endpoint);
      line.created = true;
      give(line);
      if (!open) return;
    }
    const auto changes = world.store.changes(sent + 1, world.seen_by(endpoint), kPrefix, prefix_end(kPrefix));
    WatchLine line;
    line.header = world.header(endpoint);
    if (!changes) {
      line.canceled = true;
      line.compacted = world.store.compacted();
      return give(line);
    }
    for (const lab::KeyChange& change : *changes) {
      if (line.events.size() == most) break;
      Event event;
      event.deleted = change.deleted;
      event.item = World::item(change.key, change.now);
      event.item.revision = change.revision;
      line.events.push_back(event);
      sent = change.revision;
    }
    if (line.events.empty()) sent = std::max(sent, line.header.revision);
    line.fragment = fragment && line.events.size() == most && most > 0;
    give(line);
  }

  void check() {
    const auto at = follower.check_at();
    if (!open || !at || *at > world.now) return;
    follower.check_begun(world.now);
    const auto page =
        world.range(endpoint, kPrefix, 1, 0, number_in(follower.check_body(), "min_mod_revision"));
    if (!page) return follower.check_failed(world.now);
    follower.checked(*page, world.now);
    if (follower.must_close()) cut();
  }

  // Some seconds without faults.
  void go_on(bool checks = false) {
    for (int n = 0; n < 40; ++n) {
      world.now += 300;
      act();
      deliver(10, false);
      if (checks) check();
    }
  }

  void cut() {
    if (!open) return;
    open = false;
    follower.ended(world.now);
  }

  void give(const WatchLine& line) {
    take(follower.line(line, world.now));
    if (follower.must_close()) cut();
  }

  void take(const Update& update) {
    for (const Member& m : update.changes) {
      if (m.health == "gone") {
        shown.erase(m.host);
      } else {
        shown[m.host] = m;
      }
    }
    if (update.refetch && open) {
      follower.fetch_whole();
      cut();
    }
  }

  static std::uint64_t number_in(const std::string& body, const std::string& name) {
    const std::size_t at = body.find("\"" + name + "\":\"");
    return at == std::string::npos ? 0 : std::strtoull(body.c_str() + at + name.size() + 4, nullptr, 10);
  }
  static std::string key_in(const std::string& body) {
    const std::size_t at = body.find("\"key\":\"") + 7;
    return from_base64(body.substr(at, body.find('"', at) - at)).value();
  }

  World& world;
  View view;
  Follower follower;
  bool open = false;
  bool created = false;
  bool deaf = false;
  int endpoint = 0;
  std::uint64_t sent = 0;
  std::map<std::string, Member> shown;
};

std::string host_of(int n) { return std::string("b").append(std::to_string(n)); }

// Without further faults the view converges to the registry; until then revisions never go back, and a
// backend seen to drain in this history is shown ready again only by a newer change.
RC_GTEST_PROP(FollowerModel, ConvergesToTheRegistry, ()) {
  World world;
  Options options;
  options.floor = *rc::gen::element(0.0, 0.5);
  options.flaps = 0;
  Following client(world, *rc::gen::arbitrary<std::uint64_t>(), options,
                   *rc::gen::inRange<std::size_t>(1, 6));
  std::uint64_t reached = 0;
  std::uint64_t cluster = world.store.cluster();
  std::map<std::string, std::uint64_t> drained;  // by the revision reached when it was shown draining
  const auto look = [&] {
    if (cluster != world.store.cluster()) {
      cluster = world.store.cluster();
      reached = 0;
    }
    if (client.follower.counters().epochs == 0) RC_ASSERT(client.view.revision(0) >= reached);
    reached = client.view.revision(0);
  };
  const int steps = *rc::gen::inRange(1, 150);
  for (int n = 0; n < steps; ++n) {
    world.now += *rc::gen::inRange(1, 300);
    const std::string host = host_of(*rc::gen::inRange(0, 7));
    const std::string key = kPrefix + host;
    switch (*rc::gen::inRange(0, 16)) {
      case 0:
      case 1:
      case 2:
        world.store.put(key, value(host + ":1", "ready", *rc::gen::element(0.0, world.now)));
        break;
      case 3:
        world.store.put(key, value(host + ":1", "draining", 0));
        break;
      case 4:
        world.store.remove(key);
        break;
      case 5:
        world.store.put("/other/" + host, "x");  // revisions that this client never sees
        break;
      case 6:
        world.store.compact(*rc::gen::inRange<std::uint64_t>(1, world.store.revision() + 1));
        break;
      case 7:
        client.cut();
        break;
      case 8:
        client.deaf = *rc::gen::inRange(0, 3) == 0;
        break;
      case 9:
        world.lag[*rc::gen::inRange<std::size_t>(0, 3)] = *rc::gen::inRange<std::uint64_t>(0, 4);
        break;
      case 10:
        if (*rc::gen::inRange(0, 6) == 0) {
          world.store.restore(*rc::gen::inRange<std::uint64_t>(1, world.store.revision() + 1), world.now);
          client.cut();
        }
        break;
      case 11:
        client.check();
        break;
      default:
        client.act();
        client.deliver(*rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<bool>());
    }
    look();
  }
  // No more faults: members have caught up, and nothing is cut. A deaf watch stays deaf and must be detected.
  world.lag = {0, 0, 0};
  for (int n = 0; n < 600; ++n) {
    world.now += 50;
    client.act();
    client.deliver(10, false);
    client.check();
    if (n % 20 == 0) client.take(client.view.tick(world.now));
    look();
  }
  std::map<std::string, std::string> wanted;
  std::map<std::string, std::string> got;
  for (const auto& [key, stored] : world.store.range(kPrefix, prefix_end(kPrefix), 0, 0).items) {
    wanted[key.substr(kPrefix.size())] =
        stored.value.find("ready") != std::string::npos ? "ready" : "draining";
  }
  for (const auto& [host, member] : client.shown) got[host] = member.health;
  RC_LOG() << "floor " << options.floor << " held " << client.view.held() << " watching "
           << client.follower.watching() << " open " << client.open << " deaf "
           << client.follower.counters().deaf << " revision " << client.view.revision(0) << " of "
           << world.store.revision() << " epochs " << client.follower.counters().epochs << " snapshots "
           << client.view.counters().snapshots << "\n";
  if (client.view.counters().kept_out == 0) {
    RC_ASSERT(got == wanted);
  } else {
    // A registry that lost its history lists some drained backends as ready: only those may differ.
    for (const auto& [host, health] : got)
      RC_ASSERT(wanted.count(host) == 1 && (health == wanted[host] || health == "draining"));
  }
}

// The watched revision is compacted during a break in which two backends drain and one returns under its old
// name with a new start.
TEST(Follower, CutAcrossACompactionMissesNoDrain) {
  World world;
  for (int n = 0; n < 8; ++n) world.store.put(kPrefix + host_of(n), value(host_of(n) + ":1", "ready", 0));
  Following client(world, 3, {}, 3);
  client.go_on();
  ASSERT_TRUE(client.follower.watching());
  ASSERT_EQ(client.view.ready(), 8U);
  client.cut();
  world.store.put(kPrefix + "b1", value("b1:1", "draining", 0));
  world.store.put(kPrefix + "b2", value("b2:1", "draining", 0));
  world.store.remove(kPrefix + "b2");
  world.store.remove(kPrefix + "b3");
  world.store.put(kPrefix + "b3", value("b3:1", "ready", 777));
  world.store.compact(world.store.revision());
  client.go_on();
  EXPECT_EQ(client.shown.at("b1").health, "draining");
  EXPECT_EQ(client.shown.count("b2"), 0U);
  EXPECT_EQ(client.shown.at("b3").started, 777);
  EXPECT_EQ(client.follower.counters().compacted, 1U);
}

// The follower must not stay at a member that lags behind what was seen.
TEST(Follower, LaggingEndpointIsReplacedByAnother) {
  World world;
  for (int n = 0; n < 8; ++n) world.store.put(kPrefix + host_of(n), value(host_of(n) + ":1", "ready", 0));
  Following client(world, 3, {}, 3);
  client.go_on();
  ASSERT_TRUE(client.open);
  const int lags = (client.endpoint + 1) % 3;
  world.lag[static_cast<std::size_t>(lags)] = 3;
  client.cut();
  client.go_on();
  EXPECT_TRUE(client.open);
  EXPECT_NE(client.endpoint, lags);
  EXPECT_EQ(client.follower.counters().behind, 1U);
}

// The first part of a fragmented message must not count as all of it if the rest never arrives.
TEST(Follower, TruncatedFragmentIsFetchedAgain) {
  World world;
  for (int n = 0; n < 8; ++n) world.store.put(kPrefix + host_of(n), value(host_of(n) + ":1", "ready", 0));
  Following client(world, 3, {}, 3);
  client.go_on();
  for (const char* host : {"b1", "b2"}) world.store.put(kPrefix + host, value("x:1", "draining", 0));
  client.deliver(1, true);
  client.cut();
  client.go_on();
  EXPECT_EQ(client.shown.at("b1").health, "draining");
  EXPECT_EQ(client.shown.at("b2").health, "draining");
}

// An open watch delivers nothing: a check finds a change, or a deletion by the count of keys, and the whole
// list is fetched again.
TEST(Follower, DeafWatchIsDetected) {
  for (const bool deletion : {false, true}) {
    World world;
    for (int n = 0; n < 8; ++n) {
      world.store.put(kPrefix + host_of(n), value(host_of(n) + ":1", "ready", 0));
    }
    Following client(world, 3, {}, 3);
    client.go_on(true);
    ASSERT_TRUE(client.open);
    client.deaf = true;
    if (deletion) {
      world.store.remove(kPrefix + "b1");
    } else {
      world.store.put(kPrefix + "b1", value("b1:1", "draining", 0));
    }
    client.go_on(true);
    EXPECT_EQ(client.follower.counters().deaf, 1U);
    EXPECT_EQ(client.shown.count("b1") == 0 ? "gone" : client.shown.at("b1").health,
              deletion ? "gone" : "draining");
  }
}

// 200 clients of a registry that restarts: reconnects are spread over a second, and the busiest tenth of it
// gets at most three times its share.
TEST(Follower, ManyClientsSpreadTheirReconnects) {
  World world;
  world.store.put(kPrefix + "b0", value("b0:1", "ready", 0));
  std::vector<std::unique_ptr<Following>> clients;
  for (std::uint64_t n = 0; n < 200; ++n)
    clients.push_back(std::make_unique<Following>(world, n, Options{}, 10));
  for (int n = 0; n < 30; ++n) {
    world.now += 100;
    for (auto& client : clients) {
      client->act();
      client->deliver(10, false);
    }
  }
  for (auto& client : clients) client->cut();
  std::vector<int> tenths(10);
  for (auto& client : clients) {
    const Millis wait = client->follower.next().at - world.now;
    ASSERT_GE(wait, 0);
    ASSERT_LT(wait, 1000);
    ++tenths[static_cast<std::size_t>(wait / 100)];
  }
  const int most = *std::max_element(tenths.begin(), tenths.end());
  RecordProperty("most_in_a_tenth_of_a_second", most);
  EXPECT_LE(most, 60);
}

}  // namespace
}  // namespace shorelead::membership::registry
