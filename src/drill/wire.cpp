#define XXH_INLINE_ALL
#include "drill/wire.h"

#include <xxhash.h>

#include <cmath>
#include <limits>

#include "peers/message_codec.h"

namespace shorelead::drill {
namespace {

using fields::array;
using fields::as_index;
using fields::as_text;
using fields::bad;
using fields::bool_or;
using fields::find;
using fields::index_or;
using fields::need;
using fields::number;
using fields::number_or;
using fields::text;

RequestId request_field(const Json& line) {
  const Json& value = need(line, "Rid");
  if (!value.IsUint()) bad("Rid", "is not a whole number below 2^32");
  return value.GetUint();
}

Outcome parse_outcome(std::string_view code) {
  if (code == "served") return Outcome::kServed;
  if (code == "server_error") return Outcome::kError;
  if (code == "turned_away") return Outcome::kRejected;
  if (code == "no_answer") return Outcome::kNoAnswer;
  if (code == "no_connection") return Outcome::kNoConnection;
  if (code == "connection_lost") return Outcome::kConnectionLost;
  if (code == "called_off") return Outcome::kCancelled;
  if (code == "not_sent") return Outcome::kNotSent;
  throw FieldError("unknown StateCode \"" + std::string(code) + "\"");
}

bool parse_report(const Json& line, LoadReport& report) {
  const Json* feedback = find(line, "Feedback");
  if (feedback == nullptr) return false;
  if (!feedback->IsObject()) bad("Feedback", "is not an object");
  report.in_hand = number_or(*feedback, "inflight", -1);
  report.waiting = number_or(*feedback, "queue", -1);
  report.busy = number_or(*feedback, "util", -1);
  report.rate = number_or(*feedback, "qps", -1);
  report.latency = number_or(*feedback, "latency_ms", -1);
  report.error_rate = number_or(*feedback, "eps", -1);
  return true;
}

ListKind parse_list_kind(std::string_view mode) {
  if (mode == "diff") return ListKind::kDelta;
  if (mode == "snapshot") return ListKind::kFull;
  if (mode == "disk") return ListKind::kStored;
  if (mode == "error") return ListKind::kFailed;
  throw FieldError("unknown Mode \"" + std::string(mode) + "\"");
}

BackendState parse_state(std::string_view state) {
  if (state == "live") return BackendState::kReady;
  if (state == "quiescing") return BackendState::kDraining;
  if (state == "dead") return BackendState::kGone;
  throw FieldError("unknown State \"" + std::string(state) + "\"");
}

ListUpdate parse_list(const Json& line, AddressTable& addresses) {
  ListUpdate update;
  update.kind = parse_list_kind(text(line, "Mode"));
  if (update.kind == ListKind::kFailed && find(line, "Entries") == nullptr) return update;
  const Json& entries = array(line, "Entries");
  update.entries.reserve(entries.Size());
  for (const Json& item : entries.GetArray()) {
    if (!item.IsObject()) bad("Entries", "holds something that is not an object");
    BackendEntry entry;
    entry.backend = addresses.assign(text(item, "Backend"));
    entry.state = parse_state(text(item, "State"));
    entry.zone = index_or(item, "Locality", 0);
    entry.cell = index_or(item, "Bay", 0);
    entry.started = number_or(item, "StartTime", 0);
    entry.size = number_or(item, "Units", 1);
    const std::string_view address = text(item, "Backend");
    entry.tag = static_cast<std::uint32_t>(XXH3_64bits(address.data(), address.size()));
    update.entries.push_back(entry);
  }
  return update;
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  bad("Raw", "is not hex digits");
}

std::string parse_hex(std::string_view digits) {
  if (digits.size() % 2 != 0) bad("Raw", "has an odd number of hex digits");
  std::string bytes;
  for (std::size_t n = 0; n < digits.size(); n += 2) {
    bytes.push_back(static_cast<char>(hex_digit(digits[n]) * 16 + hex_digit(digits[n + 1])));
  }
  return bytes;
}

}  // namespace

BackendId AddressTable::assign(std::string_view address) {
  const auto [it, fresh] =
      numbers_.try_emplace(std::string(address), static_cast<BackendId>(addresses_.size()));
  if (fresh) addresses_.emplace_back(address);
  return it->second;
}

BackendId AddressTable::find(std::string_view address) const {
  const auto it = numbers_.find(std::string(address));
  if (it == numbers_.end()) throw FieldError("no list has named backend \"" + std::string(address) + "\"");
  return it->second;
}

const std::string& AddressTable::address(BackendId backend) const { return addresses_.at(backend); }

std::uint64_t parse_seed(const Json& line) {
  const Json& value = need(line, "Nonce64");
  if (!value.IsUint64()) bad("Nonce64", "is not a whole number from 0 up");
  return value.GetUint64();
}

std::optional<Event> parse_event(std::string_view message, const Json& line, AddressTable& addresses) {
  if (message == "Knock") {
    RequestArrived event;
    event.request = request_field(line);
    event.request_class = as_index(need(line, "Category"), "Category");
    event.tenant = index_or(line, "Org", 0);
    event.due = number(line, "Due");
    event.expected_work = number_or(line, "Expected", -1);
    event.client_retry = bool_or(line, "AgainByClient", false);
    if (find(line, "Key") != nullptr) {
      const std::string_view key = text(line, "Key");
      event.key = XXH3_64bits(key.data(), key.size());
    }
    return event;
  }
  if (message == "ReportBack") {
    AttemptEnded event;
    event.request = request_field(line);
    event.backend = addresses.find(text(line, "Backend"));
    event.attempt = as_index(need(line, "Trial"), "Trial");
    event.outcome = parse_outcome(text(line, "StateCode"));
    event.elapsed = number(line, "Duration");
    event.request_over = bool_or(line, "Over", false);
    event.has_report = parse_report(line, event.report);
    return event;
  }
  if (message == "Checked") {
    ProbeEnded event;
    event.backend = addresses.find(text(line, "Backend"));
    event.outcome = parse_outcome(text(line, "StateCode"));
    event.elapsed = number(line, "Duration");
    event.has_report = parse_report(line, event.report);
    return event;
  }
  if (message == "Due") {
    const Json& cookie = need(line, "Cookie");
    if (!cookie.IsUint64()) bad("Cookie", "is not a whole number from 0 up");
    return TimerFired{cookie.GetUint64()};
  }
  if (message == "Sync") return parse_list(line, addresses);
  if (message == "Lapsed") return RequestGone{request_field(line)};
  if (message == "Accepted") {
    return StreamStarted{request_field(line), as_index(need(line, "Trial"), "Trial")};
  }
  if (message == "Inbox") {
    const auto decoded = peers::decode(parse_hex(text(line, "Raw")));
    if (!decoded) return std::nullopt;
    return PeerMessageReceived{as_index(need(line, "Neighbour"), "Neighbour"), *decoded};
  }
  throw FieldError("unknown message \"" + std::string(message) + "\"");
}

void ReplyWriter::begin_message(const char* message) {
  writer_.Reset(buffer_);
  writer_.StartObject();
  writer_.Key("msg");
  writer_.String(message);
}

void ReplyWriter::end_message() {
  writer_.EndObject();
  buffer_.Put('\n');
}

void ReplyWriter::action(const std::string& instance, const Action& action, const AddressTable& addresses) {
  const auto text = [this](const char* key, const std::string& value) {
    writer_.Key(key);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto request = [this](RequestId id) {
    writer_.Key("Rid");
    writer_.Uint(id);
  };
  const auto number = [this](const char* key, double value) {
    if (!std::isfinite(value)) throw std::logic_error(std::string(key) + " is not finite");
    writer_.Key(key);
    writer_.Double(value);
  };
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    begin_message("Dispatch");
    text("NodeId", instance);
    request(send->request);
    text("Backend", addresses.address(send->backend));
    if (send->stop_at > 0) number("StopAt", send->stop_at);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    begin_message("Cancel");
    text("NodeId", instance);
    request(cancel->request);
    writer_.Key("Trial");
    writer_.Int(cancel->attempt);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    begin_message("Decline");
    text("NodeId", instance);
    request(refuse->request);
    if (refuse->wait > 0) number("Wait", refuse->wait);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    begin_message("ReportFailure");
    text("NodeId", instance);
    request(fail->request);
  } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
    begin_message("Poll");
    text("NodeId", instance);
    text("Backend", addresses.address(probe->backend));
  } else if (std::holds_alternative<SubscribeList>(action)) {
    begin_message("Listen");
    text("NodeId", instance);
    writer_.Key("Active");
    writer_.Bool(true);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    begin_message("WakeMe");
    text("NodeId", instance);
    number("Moment", timer->at);
    writer_.Key("Cookie");
    writer_.Uint64(timer->cookie);
  } else if (const auto* idle = std::get_if<CloseIdle>(&action)) {
    begin_message("CloseIdle");
    text("NodeId", instance);
    text("Backend", addresses.address(idle->backend));
  } else if (const auto* to_peer = std::get_if<SendPeerMessage>(&action)) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string raw;
    for (const char c : peers::encode(to_peer->message)) {
      raw.push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
      raw.push_back(kDigits[static_cast<unsigned char>(c) & 15]);
    }
    begin_message("Publish");
    text("NodeId", instance);
    writer_.Key("Recipient");
    writer_.Int(to_peer->peer);
    text("Raw", raw);
  } else if (const auto* note = std::get_if<Note>(&action)) {
    begin_message("Debug");
    text("NodeId", instance);
    text("Words", note->text);
  }
  end_message();
}

void ReplyWriter::internal_error(const std::string& instance, const std::string& words) {
  begin_message("InternalError");
  writer_.Key("NodeId");
  writer_.String(instance.c_str());
  writer_.Key("Words");
  writer_.String(words.c_str());
  end_message();
}

void ReplyWriter::end_reply() {
  begin_message("Next");
  end_message();
}

}  // namespace shorelead::drill
