// Events and actions as text, one line each, numbers with full precision.
#include <cstdio>

#include "policy/stream_host.h"

namespace shorelead::stream {
namespace {

template <typename... Args>
std::string format(const char* form, Args... args) {
  char line[512];
  std::snprintf(line, sizeof line, form, args...);
  return line;
}

std::string words(const PeerMessage& m) {
  return format("kind %d about %u work %.17g held %.17g ratio %.17g ending %d rate %.17g",
                static_cast<int>(m.kind), m.about, m.work, m.held, m.ratio, static_cast<int>(m.ending),
                m.rate);
}

std::string words(const LoadReport& r) {
  return format("in_hand %.17g waiting %.17g busy %.17g", r.in_hand, r.waiting, r.busy);
}

struct EventWriter {
  std::string operator()(const Started&) { return "started"; }
  std::string operator()(const ListUpdate& e) {
    std::string text = format("list %d sharing %.17g", static_cast<int>(e.kind), e.sharing);
    for (const BackendEntry& b : e.entries) {
      text += format(" [%u %d %d %d %.17g %.17g %u]", b.backend, static_cast<int>(b.state), b.zone, b.cell,
                     b.started, b.size, b.tag);
    }
    return text;
  }
  std::string operator()(const RequestArrived& e) {
    return format("arrived %u class %d tenant %d due %.17g work %.17g retry %d key %llu", e.request,
                  e.request_class, e.tenant, e.due, e.expected_work, e.client_retry,
                  static_cast<unsigned long long>(e.key));
  }
  std::string operator()(const StreamStarted& e) { return format("stream %u.%d", e.request, e.attempt); }
  std::string operator()(const AttemptEnded& e) {
    return format("ended %u.%d at %u: %d after %.17g over %d %s", e.request, e.attempt, e.backend,
                  static_cast<int>(e.outcome), e.elapsed, e.request_over,
                  e.has_report ? words(e.report).c_str() : "");
  }
  std::string operator()(const ResponseEnded& e) {
    return format("response of %u class %d: %d", e.backend, e.request_class, static_cast<int>(e.outcome));
  }
  std::string operator()(const RequestGone& e) { return format("gone %u", e.request); }
  std::string operator()(const ProbeEnded& e) {
    return format("probed %u: %d after %.17g %s", e.backend, static_cast<int>(e.outcome), e.elapsed,
                  e.has_report ? words(e.report).c_str() : "");
  }
  std::string operator()(const PeerMessageReceived& e) {
    return format("told by %d ", e.peer) + words(e.message);
  }
  std::string operator()(const RetriesAllowed& e) { return format("further allowed %.17g", e.left); }
  std::string operator()(const ListValidity& e) { return format("list until %.17g", e.until); }
  std::string operator()(const SettingsChanged& e) {
    return format("settings: %zu classes, %zu tenants, attempts %d, first aim %.17g",
                  e.settings.classes.size(), e.settings.tenants.size(), e.settings.max_attempts,
                  e.settings.classes[0].aim);
  }
  std::string operator()(const TimerFired& e) {
    return format("timer %llu", static_cast<unsigned long long>(e.cookie));
  }
};

struct ActionWriter {
  std::string operator()(const SendAttempt& a) {
    return format("send %u to %u stop %.17g", a.request, a.backend, a.stop_at);
  }
  std::string operator()(const CancelAttempt& a) { return format("cancel %u.%d", a.request, a.attempt); }
  std::string operator()(const Refuse& a) { return format("refuse %u wait %.17g", a.request, a.wait); }
  std::string operator()(const Fail& a) { return format("fail %u", a.request); }
  std::string operator()(const SendProbe& a) { return format("probe %u", a.backend); }
  std::string operator()(const CloseIdle& a) { return format("close idle %u", a.backend); }
  std::string operator()(const SubscribeList&) { return "subscribe"; }
  std::string operator()(const SendPeerMessage& a) { return format("tell %d ", a.peer) + words(a.message); }
  std::string operator()(const SetTimer& a) {
    return format("timer %llu at %.17g", static_cast<unsigned long long>(a.cookie), a.at);
  }
  std::string operator()(const Note& a) { return "note " + a.text; }
};

}  // namespace

std::string write(const Event& event) { return std::visit(EventWriter(), event) + "\n"; }
std::string write(const Action& action) { return "  " + std::visit(ActionWriter(), action) + "\n"; }

}  // namespace shorelead::stream
