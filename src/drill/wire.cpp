#include "drill/wire.h"

#include <cmath>
#include <limits>

namespace shorelead::drill {
namespace {

[[noreturn]] void bad(const char* name, const char* what) {
  throw WireError("field \"" + std::string(name) + "\" " + what);
}

// The value of a field, or null where it is absent (a written null counts as absent).
const Json* find(const Json& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Json& need(const Json& object, const char* name) {
  const Json* value = find(object, name);
  if (value == nullptr) bad(name, "is missing");
  return *value;
}

double as_number(const Json& value, const char* name) {
  if (!value.IsNumber()) bad(name, "is not a number");
  return value.GetDouble();
}

int as_index(const Json& value, const char* name) {
  if (!value.IsInt() || value.GetInt() < 0) bad(name, "is not a whole number from 0 up");
  return value.GetInt();
}

bool as_bool(const Json& value, const char* name) {
  if (!value.IsBool()) bad(name, "is not true or false");
  return value.GetBool();
}

std::string_view as_text(const Json& value, const char* name) {
  if (!value.IsString()) bad(name, "is not a string");
  return {value.GetString(), value.GetStringLength()};
}

double number_or(const Json& object, const char* name, double fallback) {
  const Json* value = find(object, name);
  return value == nullptr ? fallback : as_number(*value, name);
}

int index_or(const Json& object, const char* name, int fallback) {
  const Json* value = find(object, name);
  return value == nullptr ? fallback : as_index(*value, name);
}

bool bool_or(const Json& object, const char* name, bool fallback) {
  const Json* value = find(object, name);
  return value == nullptr ? fallback : as_bool(*value, name);
}

RequestId request_field(const Json& line) {
  const Json& value = need(line, "Rid");
  if (!value.IsUint()) bad("Rid", "is not a whole number below 2^32");
  return value.GetUint();
}

const Json& object_field(const Json& object, const char* name) {
  const Json& value = need(object, name);
  if (!value.IsObject()) bad(name, "is not an object");
  return value;
}

const Json& array_field(const Json& object, const char* name) {
  const Json& value = need(object, name);
  if (!value.IsArray()) bad(name, "is not an array");
  return value;
}

Outcome parse_outcome(std::string_view code) {
  if (code == "served") return Outcome::kServed;
  if (code == "server_error") return Outcome::kError;
  if (code == "turned_away") return Outcome::kTurnedAway;
  if (code == "no_answer") return Outcome::kNoAnswer;
  if (code == "no_connection") return Outcome::kNoConnection;
  if (code == "connection_lost") return Outcome::kConnectionLost;
  if (code == "called_off") return Outcome::kCalledOff;
  if (code == "not_sent") return Outcome::kNotSent;
  throw WireError("unknown StateCode \"" + std::string(code) + "\"");
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
  throw WireError("unknown Mode \"" + std::string(mode) + "\"");
}

BackendState parse_state(std::string_view state) {
  if (state == "live") return BackendState::kReady;
  if (state == "quiescing") return BackendState::kDraining;
  if (state == "dead") return BackendState::kGone;
  throw WireError("unknown State \"" + std::string(state) + "\"");
}

ListUpdate parse_list(const Json& line, BackendNames& names) {
  ListUpdate update;
  update.kind = parse_list_kind(text_field(line, "Mode"));
  if (update.kind == ListKind::kFailed && find(line, "Entries") == nullptr) return update;
  const Json& entries = array_field(line, "Entries");
  update.entries.reserve(entries.Size());
  for (const Json& item : entries.GetArray()) {
    if (!item.IsObject()) bad("Entries", "holds something that is not an object");
    BackendEntry entry;
    entry.backend = names.learn(text_field(item, "Backend"));
    entry.state = parse_state(text_field(item, "State"));
    entry.zone = index_or(item, "Locality", 0);
    entry.cell = index_or(item, "Bay", 0);
    entry.started = number_or(item, "StartTime", 0);
    entry.size = number_or(item, "Units", 1);
    update.entries.push_back(entry);
  }
  return update;
}

Effect parse_effect(std::string_view effect) {
  if (effect == "pure") return Effect::kSafe;
  if (effect == "token") return Effect::kKeyed;
  if (effect == "side_effect") return Effect::kUnsafe;
  throw WireError("unknown Effect \"" + std::string(effect) + "\"");
}

DedupGroup parse_group(std::string_view group) {
  if (group == "all") return DedupGroup::kAll;
  if (group == "zone") return DedupGroup::kZone;
  if (group == "cell") return DedupGroup::kCell;
  throw WireError("unknown Group \"" + std::string(group) + "\"");
}

RequestClass parse_class(const Json& item) {
  if (!item.IsObject()) bad("Services", "holds something that is not an object");
  RequestClass request_class;
  request_class.effect = parse_effect(text_field(item, "Effect"));
  if (const Json* group = find(item, "Group")) request_class.group = parse_group(as_text(*group, "Group"));
  request_class.dedup_window = number_or(item, "DedupWindow", 0);
  request_class.aim = number_field(item, "Aim");
  request_class.deadline = number_field(item, "GiveUp");
  request_class.aim_stretch = number_or(item, "AimStretch", 0);
  request_class.worth = number_or(item, "Worth", 1);
  request_class.late_value = number_or(item, "LateValue", 0);
  request_class.streamed = bool_or(item, "Streamed", false);
  return request_class;
}

}  // namespace

std::string_view text_field(const Json& object, const char* name) {
  return as_text(need(object, name), name);
}

double number_field(const Json& object, const char* name) { return as_number(need(object, name), name); }

BackendId BackendNames::learn(std::string_view address) {
  const auto [it, fresh] =
      numbers_.try_emplace(std::string(address), static_cast<BackendId>(addresses_.size()));
  if (fresh) addresses_.emplace_back(address);
  return it->second;
}

BackendId BackendNames::find(std::string_view address) const {
  const auto it = numbers_.find(std::string(address));
  if (it == numbers_.end()) throw WireError("no list has named backend \"" + std::string(address) + "\"");
  return it->second;
}

const std::string& BackendNames::address(BackendId backend) const { return addresses_.at(backend); }

std::uint64_t parse_seed(const Json& line) {
  const Json& value = need(line, "Nonce64");
  if (!value.IsUint64()) bad("Nonce64", "is not a whole number from 0 up");
  return value.GetUint64();
}

Settings parse_settings(const Json& line) {
  const Json& object = object_field(line, "Settings");
  Settings settings;
  settings.instances = index_or(object, "Instances", 1);
  settings.instance = index_or(object, "Me", 0);
  settings.zone = index_or(object, "Locality", 0);
  for (const Json& item : array_field(object, "Services").GetArray()) {
    settings.classes.push_back(parse_class(item));
  }
  if (find(object, "Tenants") != nullptr) {
    for (const Json& item : array_field(object, "Tenants").GetArray()) {
      if (!item.IsObject()) bad("Tenants", "holds something that is not an object");
      settings.tenants.push_back({number_or(item, "QuotaRps", 0)});
    }
  }
  settings.over_share_worth = number_or(object, "OverShareWorth", 1);
  if (const Json* mode = find(object, "RegistryMode")) {
    settings.list_on_request = as_text(*mode, "RegistryMode") == "subscribe";
  }
  if (const Json* weights = find(object, "Weights")) {
    settings.sizes_listed = as_text(*weights, "Weights") != "none";
  }
  const Json& allowed = object_field(object, "Allowed");
  settings.probing = bool_or(allowed, "Probing", false);
  settings.cancelling = bool_or(allowed, "Cancel", false);
  settings.parallel_attempts = bool_or(allowed, "ParallelTries", false);
  settings.advise_wait = bool_or(allowed, "RetryAfter", false);
  settings.max_wait_advice = number_or(allowed, "MaxRetryAfter", 0);
  settings.max_attempts = index_or(allowed, "MostTries", 1);
  settings.connect_timeout = number_or(allowed, "ConnectTimeout", 0);
  const Json& rules = object_field(object, "Invariants");
  settings.ask_every = number_or(rules, "AskEvery", 0);
  settings.cold_share = number_or(rules, "ColdShare", 1);
  settings.warm_up = number_or(rules, "WarmUp", 0);
  settings.fall_multiple = number_or(rules, "FallMultiple", 1);
  settings.fall_span = number_or(rules, "Fall", 0);
  if (find(object, "Costs") != nullptr) {
    settings.probe_price = number_or(object_field(object, "Costs"), "Probe", 0);
  }
  return settings;
}

Event parse_event(std::string_view message, const Json& line, BackendNames& names) {
  if (message == "Knock") {
    RequestArrived event;
    event.request = request_field(line);
    event.request_class = as_index(need(line, "Category"), "Category");
    event.tenant = index_or(line, "Org", 0);
    event.due = number_field(line, "Due");
    event.expected_work = number_or(line, "Expected", -1);
    event.client_retry = bool_or(line, "AgainByClient", false);
    return event;
  }
  if (message == "ReportBack") {
    AttemptEnded event;
    event.request = request_field(line);
    event.backend = names.find(text_field(line, "Backend"));
    event.attempt = as_index(need(line, "Trial"), "Trial");
    event.outcome = parse_outcome(text_field(line, "StateCode"));
    event.elapsed = number_field(line, "Duration");
    event.request_over = bool_or(line, "Over", false);
    event.has_report = parse_report(line, event.report);
    return event;
  }
  if (message == "Checked") {
    ProbeEnded event;
    event.backend = names.find(text_field(line, "Backend"));
    event.outcome = parse_outcome(text_field(line, "StateCode"));
    event.elapsed = number_field(line, "Duration");
    event.has_report = parse_report(line, event.report);
    return event;
  }
  if (message == "Due") {
    const Json& cookie = need(line, "Cookie");
    if (!cookie.IsUint64()) bad("Cookie", "is not a whole number from 0 up");
    return TimerFired{cookie.GetUint64()};
  }
  if (message == "Sync") return parse_list(line, names);
  if (message == "Lapsed") return RequestGone{request_field(line)};
  if (message == "Accepted") {
    return StreamStarted{request_field(line), as_index(need(line, "Trial"), "Trial")};
  }
  throw WireError("unknown message \"" + std::string(message) + "\"");
}

void ReplyWriter::open(const char* message) {
  writer_.Reset(buffer_);
  writer_.StartObject();
  writer_.Key("msg");
  writer_.String(message);
}

void ReplyWriter::close() {
  writer_.EndObject();
  buffer_.Put('\n');
}

void ReplyWriter::action(const std::string& instance, const Action& action, const BackendNames& names) {
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
    open("Dispatch");
    text("NodeId", instance);
    request(send->request);
    text("Backend", names.address(send->backend));
    if (send->stop_at > 0) number("StopAt", send->stop_at);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    open("Cancel");
    text("NodeId", instance);
    request(cancel->request);
    writer_.Key("Trial");
    writer_.Int(cancel->attempt);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    open("Decline");
    text("NodeId", instance);
    request(refuse->request);
    if (refuse->wait > 0) number("Wait", refuse->wait);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    open("ReportFailure");
    text("NodeId", instance);
    request(fail->request);
  } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
    open("Poll");
    text("NodeId", instance);
    text("Backend", names.address(probe->backend));
  } else if (std::holds_alternative<SubscribeList>(action)) {
    open("Listen");
    text("NodeId", instance);
    writer_.Key("Active");
    writer_.Bool(true);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    open("WakeMe");
    text("NodeId", instance);
    number("Moment", timer->at);
    writer_.Key("Cookie");
    writer_.Uint64(timer->cookie);
  } else if (const auto* note = std::get_if<Note>(&action)) {
    open("Debug");
    text("NodeId", instance);
    text("Words", note->text);
  }
  close();
}

void ReplyWriter::internal_error(const std::string& instance, const std::string& words) {
  open("InternalError");
  writer_.Key("NodeId");
  writer_.String(instance.c_str());
  writer_.Key("Words");
  writer_.String(words.c_str());
  close();
}

void ReplyWriter::next() {
  open("Next");
  close();
}

}  // namespace shorelead::drill
