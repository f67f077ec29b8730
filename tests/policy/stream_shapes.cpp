// The recorded shapes: one for each way in which the module gets load reports, one for each exception, and
// shapes drawn at random.
#include <functional>

#include "policy/stream_host.h"

namespace shorelead::stream {
namespace {

RequestClass make_class(Effect effect, DedupGroup group, Millis aim, double worth) {
  RequestClass c;
  c.effect = effect;
  c.group = group;
  c.dedup_window = 300;
  c.aim = aim;
  c.deadline = 3 * aim;
  c.worth = worth;
  return c;
}

Shape plain(std::string name, const std::function<void(Shape&)>& change) {
  Shape shape;
  shape.name = std::move(name);
  Settings& s = shape.settings;
  s.classes = {make_class(Effect::kSafe, DedupGroup::kAll, 120, 1),
               make_class(Effect::kUnsafe, DedupGroup::kAll, 250, 5),
               make_class(Effect::kKeyed, DedupGroup::kAll, 200, 2),
               make_class(Effect::kKeyed, DedupGroup::kZone, 150, 3),
               make_class(Effect::kKeyed, DedupGroup::kCell, 150, 0.5),
               make_class(Effect::kSafe, DedupGroup::kAll, 300, 1)};
  s.classes[0].late_value = 0.3;
  s.classes[3].dedup_window = 30;  // shorter than the aim, so that it ends between attempts
  s.classes[5].streamed = true;
  s.tenants = {{0}, {30}, {400}};
  s.over_share_worth = 0.1;
  s.max_attempts = 3;
  s.advise_wait = true;
  s.max_wait_advice = 500;
  s.parallel_attempts = true;
  s.connect_timeout = 200;
  s.idle_timeout = 3000;
  s.warm_up = 8000;
  s.cold_share = 0.3;
  s.fall_multiple = 3;
  s.fall_span = 1000;
  change(shape);
  return shape;
}

// Only probes carry load reports, and they are cheap.
void by_probes(Shape& shape) {
  shape.settings.reports_with_answers = false;
  shape.settings.probe_price = 0.002;
}

// Peers are queried, as probes exceed their budget.
void by_peers(Shape& shape) {
  shape.settings.reports_with_answers = false;
  shape.settings.probe_price = 0.05;
  shape.settings.peer_messages = true;
  shape.settings.instances = 4;
  shape.settings.instance = 1;
}

Shape drawn(std::uint64_t number) {
  return plain("drawn-" + std::to_string(number), [number](Shape& shape) {
    Random random(number);
    const auto coin = [&] { return random.below(2) == 0; };
    const auto one_of = [&](std::initializer_list<double> values) {
      return values.begin()[random.below(values.size())];
    };
    Settings& s = shape.settings;
    if (coin()) by_peers(shape);
    s.instances = static_cast<int>(one_of({1, 2, 4, 30}));
    s.instance = static_cast<int>(random.below(static_cast<std::size_t>(s.instances)));
    s.list_on_request = coin();
    s.ask_every = one_of({0, 300, 5000});
    s.probing = !coin() || !coin();
    s.cancelling = coin();
    s.parallel_attempts = coin();
    s.advise_wait = coin();
    s.reports_with_answers = coin();
    s.warm_keys = coin();
    s.sizes_listed = coin();
    s.probe_price = one_of({0, 0.001, 0.004, 0.009, 0.05});
    s.max_probes_per_second = one_of({0, 0, 5, 40});
    s.max_probes_per_backend = one_of({0, 0, 2});
    s.streams_per_connection = static_cast<int>(one_of({1, 100}));
    s.kept_promises = one_of({0, 1});
    s.warm_up = one_of({0, 8000, 20000});
    shape.backends = static_cast<int>(one_of({2, 12, 40}));
    shape.rate = one_of({20, 200, 1500});
    shape.service = one_of({3, 12, 60});
    shape.failure_share = one_of({0, 0.03, 0.3});
    shape.churn = one_of({100, 2000});
    shape.irregular_lists = random.below(4) == 0;
  });
}

}  // namespace

std::vector<Shape> shapes(std::size_t count) {
  std::vector<Shape> all;
  const auto add = [&](const char* name, const std::function<void(Shape&)>& change) {
    all.push_back(plain(name, change));
  };
  add("answers", [](Shape& s) { s.settings.probe_price = 0.0005; });
  add("answers-dear-probes",
      [](Shape& s) { s.settings.probe_price = 0.05, s.settings.instances = 8, s.rate = 60; });
  add("answers-one", [](Shape& s) { s.backends = 1; });
  add("no-boxes", [](Shape& s) { s.backends = 1, s.churn = 50, s.irregular_lists = true; });
  add("probes", by_probes);
  add("probes-keys", [](Shape& s) { by_probes(s), s.settings.warm_keys = true, s.backends = 30; });
  add("fellows", by_peers);
  add("fellows-keys",
      [](Shape& s) { by_peers(s), s.settings.warm_keys = true, s.service = 30, s.rate = 900; });
  add("fellows-many",
      [](Shape& s) { by_peers(s), s.settings.instances = 40, s.backends = 60, s.failure_share = 0.1; });
  add("silent", [](Shape& s) { s.settings.probing = false, s.settings.reports_with_answers = false; });
  add("lossy",
      [](Shape& s) { s.failure_share = 0.4, s.settings.probing = false, s.settings.cancelling = false; });
  add("list-on-request", [](Shape& s) {
    s.settings.list_on_request = true, s.settings.instances = 40, s.settings.ask_every = 900;
  });
  add("ceilings", [](Shape& s) {
    s.backends = 120, s.settings.max_probes_per_second = 30, s.settings.max_probes_per_backend = 1,
    s.settings.instances = 3;
  });
  add("one-stream", [](Shape& s) { s.settings.streams_per_connection = 1, s.failure_share = 0.15; });
  add("cold", [](Shape& s) {
    s.churn = 60, s.settings.instances = 25, s.settings.sizes_listed = true, s.rate = 1200;
  });
  add("crowded", [](Shape& s) { s.rate = 3000, s.service = 60, s.backends = 6; });
  add("many", [](Shape& s) { s.backends = 700, s.rate = 4000, s.churn = 200; });
  while (all.size() < count) all.push_back(drawn(all.size()));
  all.resize(count);
  return all;
}

}  // namespace shorelead::stream
