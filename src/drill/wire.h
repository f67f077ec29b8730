// Codec for the bench adapter's wire protocol, one JSON object per line: parses lines into the policy's
// events and writes the policy's actions as lines. Backends have addresses on the wire and dense numbers in
// the policy; AddressTable maps between the two for one instance.
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

class AddressTable {
 public:
  BackendId assign(std::string_view address);      // returns its number, a new one for an unknown address
  BackendId find(std::string_view address) const;  // throws FieldError if no list has held it
  const std::string& address(BackendId backend) const;  // throws std::out_of_range

 private:
  std::vector<std::string> addresses_;
  std::unordered_map<std::string, BackendId> numbers_;
};

std::uint64_t parse_seed(const Json& line);
// Parses the event in a line. Returns nothing for a peer message that cannot be decoded, such as one of
// another version. Init, Stop, Clock and End are not events and are not accepted here.
std::optional<Event> parse_event(std::string_view message, const Json& line, AddressTable& addresses);

class ReplyWriter {
 public:
  void action(const std::string& instance, const Action& action, const AddressTable& addresses);
  void internal_error(const std::string& instance, const std::string& words);
  void end_reply();
  std::string_view text() const { return {buffer_.GetString(), buffer_.GetSize()}; }
  void clear() { buffer_.Clear(); }

 private:
  using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
  void begin_message(const char* message);
  void end_message();
  rapidjson::StringBuffer buffer_;
  Writer writer_{buffer_};
};

}  // namespace shorelead::drill
