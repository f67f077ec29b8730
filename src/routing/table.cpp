#include "routing/table.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace shorelead::routing {
namespace {

constexpr std::size_t kMaxSegments = 32;  // of a rule's path

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool same_host(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string_view strip_port(std::string_view host) {
  if (!host.empty() && host.front() == '[') return host.substr(0, host.find(']') + 1);
  return host.substr(0, host.find(':'));
}

std::string_view strip_query(std::string_view path) { return path.substr(0, path.find_first_of("?#")); }

// Removes the first segment from `path` and returns it; no segment is left once `path` is empty.
std::string_view next_segment(std::string_view& path) {
  path.remove_prefix(1);  // the "/"
  const std::size_t end = std::min(path.find('/'), path.size());
  const std::string_view segment = path.substr(0, end);
  path.remove_prefix(end);
  return segment;
}

bool is_parameter(std::string_view segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

// 0 = a literal, 1 = a parameter, 2 = the rest "*".
int rank(std::string_view segment) { return segment == "*" ? 2 : is_parameter(segment) ? 1 : 0; }

// Heterogeneous look-up, so that a segment of the request is not copied.
struct Hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};
template <typename T>
using ByText = std::unordered_map<std::string, T, Hash, std::equal_to<>>;

struct Leaf {
  std::size_t rule;
  std::vector<std::string> methods;
  std::vector<std::pair<std::string, std::string>> fields;
};

bool leaf_matches(const Leaf& leaf, const Request& request) {
  const bool method = leaf.methods.empty() || std::find(leaf.methods.begin(), leaf.methods.end(),
                                                        request.method) != leaf.methods.end();
  return method && std::all_of(leaf.fields.begin(), leaf.fields.end(), [&request](const auto& field) {
           return request.field != nullptr && (*request.field)(field.first) == field.second;
         });
}

struct Node {
  ByText<std::unique_ptr<Node>> literals;
  std::unique_ptr<Node> parameter;
  std::vector<Leaf> here;  // rules that end at this node, in order of precedence
  std::vector<Leaf> rest;  // rules that match any remaining path
};

const Leaf* first_match(const std::vector<Leaf>& leaves, const Request& request) {
  const auto it = std::find_if(leaves.begin(), leaves.end(),
                               [&](const Leaf& leaf) { return leaf_matches(leaf, request); });
  return it == leaves.end() ? nullptr : &*it;
}

// Depth-first search in order of precedence; visits each node of the tree at most once.
const Leaf* walk(const Node& node, std::string_view path, const Request& request) {
  if (path.empty()) {
    if (const Leaf* const leaf = first_match(node.here, request)) return leaf;
  } else {
    std::string_view behind = path;
    const std::string_view segment = next_segment(behind);
    const auto it = node.literals.find(segment);
    if (it != node.literals.end()) {
      if (const Leaf* const leaf = walk(*it->second, behind, request)) return leaf;
    }
    if (node.parameter && !segment.empty()) {
      if (const Leaf* const leaf = walk(*node.parameter, behind, request)) return leaf;
    }
  }
  return path.empty() ? nullptr : first_match(node.rest, request);
}

std::vector<std::string> segments_of(std::string_view path) {
  std::vector<std::string> all;
  while (!path.empty()) all.emplace_back(next_segment(path));
  return all;
}

std::string rejection_cause(const Rule& rule) {
  if (rule.path.empty() || rule.path[0] != '/') return "a path begins with \"/\"";
  if (rule.path.find_first_of("?#") != std::string::npos)
    return "a path holds no \"?\" or \"#\": routes do not look behind them";
  const std::vector<std::string> segments = segments_of(rule.path);
  if (segments.size() > kMaxSegments) return "a path has 32 segments at most";
  for (std::size_t n = 0; n < segments.size(); ++n) {
    const std::string& segment = segments[n];
    if (segment == "*" && n + 1 < segments.size())
      return "\"*\" stands for the rest of a path, so only at its end";
    if (segment == "*" || is_parameter(segment)) continue;
    if (segment.find_first_of("*{}") != std::string::npos)
      return "\"" + segment + "\" mixes text and a pattern: a segment is one or the other";
  }
  const bool wild = rule.host.rfind("*.", 0) == 0 && rule.host.size() > 2;
  if (rule.host.find('*', wild ? 1 : 0) != std::string::npos) return "a host is a name, or \"*.\" and a name";
  return "";
}

// The key by which duplicate rules are detected; the names of path parameters do not matter.
auto duplicate_key(const Rule& rule) {
  std::string host = rule.host;
  std::transform(host.begin(), host.end(), host.begin(), to_lower);
  std::vector<std::string> path = segments_of(rule.path);
  for (std::string& segment : path) segment = is_parameter(segment) ? "{}" : segment;
  auto fields = rule.fields;
  std::sort(fields.begin(), fields.end());
  return std::tuple(std::move(host), std::move(path), std::move(fields));
}

}  // namespace

struct Table::Impl {
  ByText<Node> exact;     // by lower-case host
  ByText<Node> suffixes;  // "*.b.c" by ".b.c"
  Node any;
  std::size_t size = 0;

  Node& root(const Rule& rule) {
    std::string host = rule.host;
    std::transform(host.begin(), host.end(), host.begin(), to_lower);
    if (host.empty()) return any;
    return host[0] == '*' ? suffixes[host.substr(1)] : exact[host];
  }
};

Table::Table() : impl_(std::make_unique<Impl>()) {}
Table::~Table() = default;
Table::Table(Table&&) noexcept = default;
Table& Table::operator=(Table&&) noexcept = default;

std::size_t Table::size() const { return impl_->size; }

Table Table::compile(const std::vector<Rule>& rules, std::vector<Refusal>& refusals) {
  Table table;
  // The first rule with this host, path and fields, for each method ("" = any).
  std::map<std::pair<decltype(duplicate_key(rules[0])), std::string>, std::size_t> first_rules;
  std::vector<std::size_t> order;
  for (std::size_t n = 0; n < rules.size(); ++n) {
    const Rule& rule = rules[n];
    if (std::string cause = rejection_cause(rule); !cause.empty()) {
      refusals.push_back({n, std::move(cause), std::nullopt});
      continue;
    }
    std::vector<std::string> methods = rule.methods;
    if (methods.empty()) methods.emplace_back();
    for (const std::string& method : methods) {
      const auto [first, fresh] = first_rules.try_emplace({duplicate_key(rule), method}, n);
      if (fresh) continue;
      refusals.push_back({n, "it is never reached: another route takes the same requests", first->second});
      break;
    }
    order.push_back(n);
  }
  // In order of precedence, so that the first matching leaf is the result.
  std::stable_sort(order.begin(), order.end(),
                   [&rules](std::size_t a, std::size_t b) { return goes_before(rules[a], rules[b]); });
  for (const std::size_t n : order) {
    const Rule& rule = rules[n];
    Node* node = &table.impl_->root(rule);
    std::vector<Leaf>* leaves = nullptr;
    for (const std::string& segment : segments_of(rule.path)) {
      if (segment == "*") {
        leaves = &node->rest;
        break;
      }
      std::unique_ptr<Node>& next = is_parameter(segment) ? node->parameter : node->literals[segment];
      if (!next) next = std::make_unique<Node>();
      node = next.get();
    }
    if (leaves == nullptr) leaves = &node->here;
    leaves->push_back({n, rule.methods, rule.fields});
    ++table.impl_->size;
  }
  return table;
}

std::optional<std::size_t> Table::find(const Request& request) const {
  const std::string_view path = strip_query(request.path);
  if (path.empty() || path[0] != '/') return std::nullopt;
  const std::string_view host = strip_port(request.host);
  // Lower case without an allocation; a host name has at most 253 bytes (RFC 1035, 2.3.4).
  char lower_case[256];
  std::string_view name;
  if (host.size() <= sizeof lower_case) {
    std::transform(host.begin(), host.end(), lower_case, to_lower);
    name = std::string_view(lower_case, host.size());
  }
  const auto in = [&](const ByText<Node>& by, std::string_view key) -> const Leaf* {
    const auto it = by.find(key);
    return it == by.end() ? nullptr : walk(it->second, path, request);
  };
  const Leaf* leaf = name.empty() ? nullptr : in(impl_->exact, name);
  for (std::size_t dot = name.find('.'); leaf == nullptr && dot != std::string_view::npos;
       dot = name.find('.', dot + 1)) {
    if (dot > 0 && !impl_->suffixes.empty()) leaf = in(impl_->suffixes, name.substr(dot));
  }
  if (leaf == nullptr) leaf = walk(impl_->any, path, request);
  return leaf == nullptr ? std::nullopt : std::optional(leaf->rule);
}

bool matches(const Rule& rule, const Request& request) {
  const std::string_view host = strip_port(request.host);
  if (rule.host.rfind("*.", 0) == 0) {
    const std::string_view suffix = std::string_view(rule.host).substr(1);
    if (host.size() <= suffix.size() || !same_host(host.substr(host.size() - suffix.size()), suffix))
      return false;
  } else if (!rule.host.empty() && !same_host(rule.host, host)) {
    return false;
  }
  std::string_view path = strip_query(request.path);
  if (path.empty() || path[0] != '/') return false;
  std::string_view pattern = rule.path;
  while (!pattern.empty()) {
    const std::string_view wanted = next_segment(pattern);
    if (path.empty()) return false;
    if (wanted == "*") {
      path = {};
      break;
    }
    const std::string_view segment = next_segment(path);
    if (is_parameter(wanted) ? segment.empty() : segment != wanted) return false;
  }
  return path.empty() && leaf_matches({0, rule.methods, rule.fields}, request);
}

bool goes_before(const Rule& a, const Rule& b) {
  const auto host = [](const Rule& r) {
    const bool wild = r.host.rfind("*.", 0) == 0;
    return std::pair(r.host.empty() ? 2 : wild ? 1 : 0, wild ? -static_cast<long>(r.host.size()) : 0);
  };
  if (host(a) != host(b)) return host(a) < host(b);
  const auto x = segments_of(a.path);
  const auto y = segments_of(b.path);
  for (std::size_t n = 0; n < std::min(x.size(), y.size()); ++n) {
    if (rank(x[n]) != rank(y[n])) return rank(x[n]) < rank(y[n]);
  }
  if (x.size() != y.size()) return x.size() > y.size();
  if (a.methods.empty() != b.methods.empty()) return b.methods.empty();
  if (a.fields.size() != b.fields.size()) return a.fields.size() > b.fields.size();
  return a.fields < b.fields;
}

}  // namespace shorelead::routing
