// Codec for the bench's wire: one JSON object per line. It turns lines into the module's events and the
// module's actions into lines, and decides nothing. Backends have addresses on the wire and dense numbers
// in the module; BackendNames keeps the two apart for one instance.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/policy.h"
#include "settings/fields.h"

namespace shorelead::drill {

class BackendNames {
 public:
  BackendId learn(std::string_view address);            // the number of an address, given on first sight
  BackendId find(std::string_view address) const;       // throws FieldError when no list has named it
  const std::string& address(BackendId backend) const;  // throws std::out_of_range

 private:
  std::vector<std::string> addresses_;
  std::unordered_map<std::string, BackendId> numbers_;
};

std::uint64_t parse_seed(const Json& line);
// The event that a line holds; none where it is a node's message in a form that this one does not know. Init,
// Stop, Clock and End are the host's and not accepted here.
std::optional<Event> parse_event(std::string_view message, const Json& line, BackendNames& names);

class ReplyWriter {
 public:
  void action(const std::string& instance, const Action& action, const BackendNames& names);
  void internal_error(const std::string& instance, const std::string& words);
  void next();  // closes the reply
  std::string_view text() const { return {buffer_.GetString(), buffer_.GetSize()}; }
  void clear() { buffer_.Clear(); }

 private:
  using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
  void open(const char* message);
  void close();
  rapidjson::StringBuffer buffer_;
  Writer writer_{buffer_};
};

}  // namespace shorelead::drill
