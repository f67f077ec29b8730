#include "affinity/rules.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

namespace shorelead::affinity {
namespace {

std::string_view field_of(const Request& request, std::string_view name) {
  return request.field == nullptr ? std::string_view() : (*request.field)(name);
}

std::string_view word_of(const Condition& c, const Request& request) {
  switch (c.subject) {
    case Subject::kRoute:
      return request.route;
    case Subject::kClass:
      return request.request_class;
    case Subject::kTenant:
      return request.tenant;
    case Subject::kPlan:
      return request.plan;
    case Subject::kMethod:
      return request.method;
    case Subject::kField:
      return field_of(request, c.name);
  }
  return {};
}

// Removes and returns the first segment of a path that begins with "/".
std::string_view next_segment(std::string_view& path) {
  path.remove_prefix(1);
  const std::size_t end = std::min(path.find('/'), path.size());
  const std::string_view segment = path.substr(0, end);
  path.remove_prefix(end);
  return segment;
}

std::string_view part_of(std::string_view path, int part) {
  for (int n = 1; !path.empty(); ++n) {
    const std::string_view segment = next_segment(path);
    if (n == part) return segment;
  }
  return {};
}

std::string_view parameter_of(std::string_view path, std::string_view pattern, std::string_view name) {
  while (!path.empty() && !pattern.empty() && pattern[0] == '/') {
    const std::string_view wanted = next_segment(pattern);
    const std::string_view segment = next_segment(path);
    if (wanted.size() == name.size() + 2 && wanted.front() == '{' && wanted.back() == '}' &&
        wanted.substr(1, name.size()) == name)
      return segment;
  }
  return {};
}

// RFC 6265, 4.2.1: pairs are separated by "; "; quotation marks are part of the value.
std::string_view cookie_of(std::string_view cookies, std::string_view name) {
  while (!cookies.empty()) {
    const std::size_t end = std::min(cookies.find(';'), cookies.size());
    std::string_view pair = cookies.substr(0, end);
    cookies.remove_prefix(std::min(end + 1, cookies.size()));
    while (!pair.empty() && (pair.front() == ' ' || pair.front() == '\t')) pair.remove_prefix(1);
    if (pair.size() > name.size() && pair[name.size()] == '=' && pair.substr(0, name.size()) == name) {
      pair.remove_prefix(name.size() + 1);
      while (!pair.empty() && (pair.back() == ' ' || pair.back() == '\t')) pair.remove_suffix(1);
      return pair;
    }
  }
  return {};
}

// Returns the path without the query; empty if it does not begin with "/".
std::string_view path_of(const Request& request) {
  const std::string_view path = request.path.substr(0, request.path.find_first_of("?#"));
  return path.empty() || path[0] != '/' ? std::string_view() : path;
}

std::string hexadecimal(std::uint32_t bits) {
  std::string text;
  for (int shift = 28; shift >= 0; shift -= 4) text += "0123456789abcdef"[bits >> shift & 15];
  return text;
}

}  // namespace

Condition is(Subject subject, std::string value) {
  return {Condition::Op::kIs, subject, "", std::move(value), {}};
}
Condition field_is(std::string name, std::string value) {
  return {Condition::Op::kIs, Subject::kField, std::move(name), std::move(value), {}};
}
Condition field_present(std::string name) {
  return {Condition::Op::kPresent, Subject::kField, std::move(name), "", {}};
}
Condition all(std::vector<Condition> parts) {
  return {Condition::Op::kAll, Subject::kRoute, "", "", std::move(parts)};
}
Condition any(std::vector<Condition> parts) {
  return {Condition::Op::kAny, Subject::kRoute, "", "", std::move(parts)};
}
Condition negated(Condition part) {
  Condition c{Condition::Op::kNot, Subject::kRoute, "", "", {}};
  c.parts.push_back(std::move(part));
  return c;
}

bool holds(const Condition& c, const Request& request) {
  switch (c.op) {
    case Condition::Op::kAlways:
      return true;
    case Condition::Op::kIs:
      return word_of(c, request) == c.value;
    case Condition::Op::kPresent:
      return !field_of(request, c.name).empty();
    case Condition::Op::kAll:
      for (const Condition& part : c.parts) {
        if (!holds(part, request)) return false;
      }
      return true;
    case Condition::Op::kAny:
      for (const Condition& part : c.parts) {
        if (holds(part, request)) return true;
      }
      return false;
    case Condition::Op::kNot:
      return !holds(c.parts.front(), request);
  }
  return false;
}

std::string_view key_of(const KeySource& source, const Request& request) {
  switch (source.from) {
    case KeySource::From::kField:
      return field_of(request, source.name);
    case KeySource::From::kCookie:
      return cookie_of(field_of(request, "cookie"), source.name);
    case KeySource::From::kPart:
      return part_of(path_of(request), source.part);
    case KeySource::From::kParameter:
      return parameter_of(path_of(request), request.pattern, source.name);
    case KeySource::From::kTenant:
      return request.tenant;
  }
  return {};
}

std::optional<RuleMatch> find(const std::vector<Rule>& rules, const Request& request) {
  for (std::size_t n = 0; n < rules.size(); ++n) {
    if (!holds(rules[n].when, request)) continue;
    const std::string_view key = key_of(rules[n].key, request);
    if (key.empty()) return RuleMatch{n, false, 0};
    return RuleMatch{n, true, hash_of(key)};
  }
  return std::nullopt;
}

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::size_t slot_of(std::uint64_t key, std::size_t slots) {
  return slots < 2 ? 0 : static_cast<std::size_t>(key >> (64 - std::countr_zero(slots)));
}

std::string map_name(const Rule& rule) {
  constexpr std::array kFrom = {"field", "cookie", "part", "parameter", "tenant"};
  constexpr std::array kTo = {"box", "cell", "zone"};
  const std::string words = std::string(kFrom[static_cast<std::size_t>(rule.key.from)]) + '\n' +
                            rule.key.name + '\n' + std::to_string(rule.key.part) + '\n' +
                            kTo[static_cast<std::size_t>(rule.to)];
  return rule.name + "#" + hexadecimal(static_cast<std::uint32_t>(hash_of(words) >> 32));
}

}  // namespace shorelead::affinity
