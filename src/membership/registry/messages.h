// Requests to a key-value registry and its responses: etcd v3's JSON gateway (range, watch; revisions are
// decimal strings, keys and values base64, as in its published rpc.proto and the gRPC gateway's JSON
// mapping), and the entries of backends in it. Pure. What cannot be parsed is an error, never taken as
// missing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace shorelead::membership::registry {

struct Header {
  std::uint64_t cluster = 0;
  std::uint64_t member = 0;
  std::uint64_t revision = 0;  // of the whole store when it responded
};

struct KeyValue {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // of its last change
  std::uint64_t created = 0;
};

struct Page {
  Header header;
  std::vector<KeyValue> items;
  bool more = false;
  std::uint64_t count = 0;  // all keys in the range
};

struct Event {
  bool deleted = false;
  KeyValue item;
};

// One message of a watch.
struct WatchLine {
  Header header;
  bool created = false;
  bool canceled = false;
  std::uint64_t compacted = 0;  // with canceled: the revision asked for is older than this and was compacted
  bool fragment = false;        // the rest of its events follows in the next message
  std::string reason;
  std::vector<Event> events;
};

// Keys from `from` to before `end`, at `revision` (0 = now), changed since `since` (0 = any time).
std::string range_request(std::string_view from, std::string_view end, std::size_t limit,
                          std::uint64_t revision, std::uint64_t since);
std::string watch_request(std::string_view from, std::string_view end, std::uint64_t start);

// Return nothing and the cause if the text is not valid.
std::optional<Page> parse_page(std::string text, std::string& cause);
std::optional<WatchLine> parse_line(std::string text, std::string& cause);
// Whether an error says that the requested revision was compacted.
bool says_compacted(std::string_view error);

// The first key after all that begin with the prefix; "\0" if there is none (etcd: to the end).
std::string prefix_end(std::string prefix);

// A backend's key is the prefix and its host; its value a JSON object as in discovery's lists: "dial",
// "health", and optionally "site", "block", "share", "born_ms".
std::optional<Member> parse_member(std::string_view host, std::string value, std::string& cause);
std::string member_value(const Member& member);

std::string base64(std::string_view bytes);
std::optional<std::string> from_base64(std::string_view text);

}  // namespace shorelead::membership::registry
