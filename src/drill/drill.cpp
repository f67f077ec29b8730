#include "drill/drill.h"

#include <rapidjson/error/en.h>

#include <map>
#include <optional>
#include <string>

#include "drill/wire.h"
#include "settings/settings.h"

namespace shorelead::drill {
namespace {

struct Instance {
  Policy policy;
  AddressTable addresses;
};

class Adapter {
 public:
  explicit Adapter(std::ostream& out) : out_(out) {}

  bool in_batch() const { return now_.has_value(); }

  void handle_line(std::string& text) {
    // The parsed document is allocated in a pool that is reused for each line.
    pool_.Clear();
    stack_.Clear();
    Document document(&pool_, 1024, &stack_);
    document.ParseInsitu(text.data());
    if (document.HasParseError()) {
      throw FieldError(std::string("broken JSON: ") + rapidjson::GetParseError_En(document.GetParseError()));
    }
    if (!document.IsObject()) throw FieldError("not a JSON object");
    const std::string_view message = fields::text(document, "msg");
    if (message == "Clock") return begin_batch(document);
    if (!now_) throw FieldError("\"" + std::string(message) + "\" before \"Clock\"");
    if (message == "End") return end_batch();
    const std::string id(fields::text(document, "NodeId"));
    if (message == "Init") return start_instance(id, document);
    const auto it = instances_.find(id);
    if (it == instances_.end()) throw FieldError("unknown instance \"" + id + "\"");
    if (message == "Stop") {
      instances_.erase(it);
      return;
    }
    const std::optional<Event> event = parse_event(message, document, it->second.addresses);
    if (event) deliver(id, it->second, *event);
  }

 private:
  using Pool = rapidjson::MemoryPoolAllocator<>;
  using Document = rapidjson::GenericDocument<rapidjson::UTF8<>, Pool, Pool>;

  void begin_batch(const Json& line) {
    if (now_) throw FieldError("\"Clock\" inside a batch");
    now_ = fields::number(line, "Now");
  }

  void end_batch() {
    reply_.end_reply();
    out_ << reply_.text() << std::flush;
    reply_.clear();
    now_.reset();
  }

  void start_instance(const std::string& id, const Json& line) {
    const Settings settings = parse_settings(fields::object(line, "Settings"));
    instances_.erase(id);
    const auto it = instances_.emplace(id, Instance{Policy(settings, parse_seed(line)), {}}).first;
    deliver(id, it->second, Started{});
  }

  // An exception of the policy is reported for its instance; the other instances go on.
  void deliver(const std::string& id, Instance& instance, const Event& event) {
    actions_.clear();
    try {
      instance.policy.handle(event, *now_, actions_);
    } catch (const std::exception& error) {
      reply_.internal_error(id, error.what());
      return;
    }
    for (const Action& action : actions_) reply_.action(id, action, instance.addresses);
  }

  std::ostream& out_;
  std::optional<Millis> now_;
  std::map<std::string, Instance> instances_;
  std::vector<Action> actions_;
  ReplyWriter reply_;
  Pool pool_;
  Pool stack_;
};

}  // namespace

int run(std::istream& in, std::ostream& out, std::ostream& errors) {
  Adapter adapter(out);
  std::string text;
  std::size_t number = 0;
  while (std::getline(in, text)) {
    ++number;
    try {
      adapter.handle_line(text);
    } catch (const FieldError& error) {
      errors << "line " << number << ": " << error.what() << std::endl;
      return 1;
    }
  }
  if (adapter.in_batch()) {
    errors << "line " << number + 1 << ": input ended inside a batch" << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace shorelead::drill
