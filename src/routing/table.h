// Finds the route of a request: compiles rules into a table and returns the rule that a request's host, path,
// method and header fields match. Defines the order of precedence, which does not depend on the order in
// which rules are given. A look-up does not allocate.
//
// Precedence; the first difference decides (a total order: two rules equal in all of it are rejected as
// duplicates):
//   1. host: exact, then "*.b.c" before "*.c", then any;
//   2. path, segment by segment from the front: a literal, then a parameter "{id}", then the rest "/*";
//   3. a rule that names methods before one for any method;
//   4. more header fields before fewer; then names and values in byte order.
// A look-up walks the segments of the path, so its cost does not grow with the number of rules, except for
// rules that differ only in header fields.
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
  std::string host;                  // "a.example.org", "*.example.org"; empty = any; case-insensitive
  std::string path = "/*";           // "/a/{id}/b", "/a/*", "/"; compared byte by byte
  std::vector<std::string> methods;  // empty = any
  std::vector<std::pair<std::string, std::string>> fields;  // name and exact value; all must match
  int target = 0;                                           // the caller's number of the route
};

struct Request {
  std::string_view host;  // as the client wrote it; a port is ignored
  std::string_view path;  // from the first "/"; a query is ignored
  std::string_view method;
  // Returns the value of a header field by its lower-case name; empty if it is absent.
  const std::function<std::string_view(std::string_view)>* field = nullptr;
};

// Why a rule was rejected.
struct Refusal {
  std::size_t rule = 0;
  std::string cause;
  std::optional<std::size_t> other;  // the earlier rule of which it is a duplicate
};

class Table {
 public:
  Table();
  ~Table();
  Table(Table&&) noexcept;
  Table& operator=(Table&&) noexcept;

  // Reports every rejected rule in one pass; the table may be used only if there is none.
  static Table compile(const std::vector<Rule>& rules, std::vector<Refusal>& refusals);

  // Returns the index, among the compiled rules, of the rule that the request matches. O(segments of the
  // path) unless rules differ only in header fields; does not allocate.
  std::optional<std::size_t> find(const Request& request) const;
  std::size_t size() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Whether the rule matches this request, computed without the table; for tests and as a baseline.
bool matches(const Rule& rule, const Request& request);
// Whether `a` precedes `b` in the order above; false both ways if they are equal in it.
bool goes_before(const Rule& a, const Rule& b);

}  // namespace shorelead::routing
