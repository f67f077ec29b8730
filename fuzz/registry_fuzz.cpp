// What a registry may answer and what a disk may give back, under any bytes: read or refused with a cause;
// and what was read as a backend or a kept list is read the same when it is written again. The first byte
// chooses the reader. Run by fuzz/run with a fixed number of inputs.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "membership/registry/follower.h"
#include "membership/registry/messages.h"
#include "membership/registry/writes.h"
#include "membership/saved_list.h"

using namespace shorelead::membership;

namespace {

void must(bool holds) {
  if (!holds) std::abort();
}

// Two lines of a watch, or two pages, to a follower: whatever they say, it knows what to ask next.
void follow(const std::string& text) {
  View view;
  registry::Follower follower(view, 0, "/b/", 2, 7);
  const std::size_t half = text.find('\n');
  std::string cause;
  double now = 1000;
  for (const std::string& part :
       {text.substr(0, half), half == std::string::npos ? "" : text.substr(half + 1)}) {
    now += 100;
    if (const auto page = registry::parse_page(part, cause)) {
      follower.page(*page, now);
    } else if (const auto line = registry::parse_line(part, cause)) {
      follower.line(*line, now);
    }
    if (follower.must_close()) follower.ended(now);
    must(!follower.next().body.empty());
    must(follower.next().at <= now + 10000);
    must(view.ready() <= view.size());
  }
}

// An answer to a transaction or about a lease: whatever it says, it fits what was asked or is refused.
void writes(const std::string& text) {
  const registry::Txn asked{{{"/f/plan", registry::Compare::Of::kChanged, 3}},
                            {registry::Put{"/f/a", "x", 7}, registry::Get{"/f/", "/f0", false}},
                            {registry::Get{"/f/plan", "", true}, registry::Delete{"/f/a"}}};
  std::string cause;
  const auto answer = registry::parse_txn(asked, text, cause);
  must(answer ? answer->pages.size() == 2 : !cause.empty());
  must(!answer || answer->succeeded || answer->pages[1].items.empty());
  cause.clear();
  const auto granted = registry::parse_grant(text, cause);
  must(granted ? granted->id > 0 && granted->seconds > 0 : !cause.empty());
  cause.clear();
  const auto kept = registry::parse_kept(7, text, cause);
  must(kept ? kept->id == 7 && kept->seconds >= 0 : !cause.empty());
  cause.clear();
  must(registry::parse_revoked(text, cause) || !cause.empty());
  must(registry::parse_refusal(text).code >= 0);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::string cause;
  switch (data[0] % 5) {
    case 0:
      must(registry::parse_page(text, cause) || !cause.empty());
      writes(text);
      break;
    case 1:
      must(registry::parse_line(text, cause) || !cause.empty());
      break;
    case 2: {
      const auto member = registry::parse_member("h", text, cause);
      must(member || !cause.empty());
      if (!member) break;
      const auto again = registry::parse_member("h", registry::member_value(*member), cause);
      must(again && again->dial == member->dial && again->health == member->health);
      break;
    }
    case 3: {
      const auto list = read_saved_list(text, cause);
      must(list || !cause.empty());
      const auto bytes = registry::from_base64(text);
      must(!bytes || registry::from_base64(registry::base64(*bytes)) == bytes);
      break;
    }
    default:
      follow(text);
  }
  return 0;
}
