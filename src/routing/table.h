// Which route a request takes. Pure: rules in, a compiled table out; a request's host, path, method and
// fields in, the rule that it takes out. Owns the order of precedence. It must never allocate while it looks
// up, nor let the order of rules decide where they differ in what they match.
//
// Precedence, first difference decides (total: two rules that tie in all of it are refused as the same):
//   1. host: exact, then "*.b.c" before "*.c", then any;
//   2. path, segment by segment from the front: a literal, then a parameter "{id}", then the rest "/*";
//   3. a method named before any method;
//   4. more fields named before fewer; then the names and values in the order of bytes.
// The look-up walks the path's segments, not the rules: its cost does not grow with their number, but for
// rules that differ in fields alone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace shorelead::routing {

struct Rule {
  std::string host;                  // "a.example.org", "*.example.org"; empty = any. Compared without case
  std::string path = "/*";           // "/a/{id}/b", "/a/*", "/"; compared byte by byte
  std::vector<std::string> methods;  // empty = any
  std::vector<std::pair<std::string, std::string>> fields;  // name, exact value; all must be there
  int target = 0;                                           // what the caller makes of it
};

struct Request {
  std::string_view host;  // as the client wrote it; a port is left out of account
  std::string_view path;  // from the first "/"; what follows "?" is left out of account
  std::string_view method;
  // The value of a header field by its name in small letters; empty where there is none.
  const std::function<std::string_view(std::string_view)>* field = nullptr;
};

// Why a rule cannot be taken.
struct Refusal {
  std::size_t rule = 0;
  std::string cause;
  std::optional<std::size_t> other;  // the rule that it clashes with
};

class Table {
 public:
  Table();
  ~Table();
  Table(Table&&) noexcept;
  Table& operator=(Table&&) noexcept;

  // All refusals at once; the table is of use only where there are none.
  static Table compile(const std::vector<Rule>& rules, std::vector<Refusal>& refusals);

  // The place of the rule that the request takes, among those compiled. O(segments of the path) where rules
  // do not differ in fields alone; no allocation.
  std::optional<std::size_t> find(const Request& request) const;
  std::size_t size() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Whether the rule takes this request at all: the same without the table, for tests and as a baseline.
bool matches(const Rule& rule, const Request& request);
// Whether `a` goes before `b` by the order above; neither where they tie.
bool goes_before(const Rule& a, const Rule& b);

}  // namespace shorelead::routing
