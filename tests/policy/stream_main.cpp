// Plays recorded streams of events to the decision module and compares the resulting actions: one hash of all
// actions for each shape and seed. A change that does not move decisions leaves every hash as it is.
//   policy_stream check FILE                      plays what FILE names and compares
//   policy_stream record SHAPES SEEDS EVENTS      writes such a file: seeds 1 to SEEDS, so many events each
//   policy_stream print SHAPE SEED EVENTS         writes the events and actions of one, for a comparison
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "policy/stream_host.h"

namespace {

using namespace shorelead::stream;

class Hash : public Sink {
 public:
  Hash() : state_(XXH3_createState()) { XXH3_64bits_reset(state_); }
  ~Hash() override { XXH3_freeState(state_); }
  Hash(const Hash&) = delete;
  Hash& operator=(const Hash&) = delete;
  void take(const std::string& text) override { XXH3_64bits_update(state_, text.data(), text.size()); }
  std::string hex() const {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(XXH3_64bits_digest(state_)));
    return text;
  }

 private:
  XXH3_state_t* state_;
};

class Print : public Sink {
 public:
  void take(const std::string& text) override { std::cout << text; }
};

std::string line_of(const Shape& shape, std::uint64_t number, std::uint64_t seed, std::size_t events) {
  Hash hash;
  Host host(shape, seed, hash);
  const std::size_t actions = host.play(events);
  std::ostringstream line;
  line << number << ' ' << shape.name << ' ' << seed << ' ' << events << ' ' << actions << ' ' << hash.hex();
  return line.str();
}

int check(const char* file) {
  std::ifstream in(file);
  std::string line;
  std::size_t lines = 0;
  std::size_t wrong = 0;
  std::size_t all_events = 0;
  std::size_t all_actions = 0;
  while (std::getline(in, line)) {
    if (line.empty() || line[0] == '#') continue;
    std::istringstream fields(line);
    std::size_t number = 0, events = 0, actions = 0;
    std::uint64_t seed = 0;
    std::string name;
    if (!(fields >> number >> name >> seed >> events >> actions)) {
      std::cerr << file << ": cannot be read: " << line << "\n";
      return 2;
    }
    const std::string now = line_of(shapes(number + 1)[number], number, seed, events);
    ++lines, all_events += events, all_actions += actions;
    if (now == line) continue;
    ++wrong;
    std::cerr << "recorded " << line << "\nnow      " << now << "\n";
  }
  std::cout << lines << " streams, " << all_events << " events, " << all_actions << " actions: " << wrong
            << " differ\n";
  return lines == 0 || wrong > 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  const auto number = [&](int n) { return static_cast<std::size_t>(std::atoll(argv[n])); };
  if (what == "check" && argc == 3) return check(argv[2]);
  if (what == "record" && argc == 5) {
    const std::vector<Shape> all = shapes(number(2));
    for (std::size_t n = 0; n < all.size(); ++n) {
      for (std::size_t seed = 1; seed <= number(3); ++seed)
        std::cout << line_of(all[n], n, seed, number(4)) << std::endl;
    }
    return 0;
  }
  if (what == "print" && argc == 5) {
    Print print;
    Host host(shapes(number(2) + 1)[number(2)], number(3), print);
    host.play(number(4));
    return 0;
  }
  std::cerr << "policy_stream check FILE | record SHAPES SEEDS EVENTS | print SHAPE SEED EVENTS\n";
  return 2;
}
