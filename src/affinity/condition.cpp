#include "affinity/condition.h"

#include <algorithm>
#include <array>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>
#include <utility>

namespace shorelead::affinity {
namespace {

namespace pegtl = tao::pegtl;

struct name_char : pegtl::sor<pegtl::alnum, pegtl::one<'_', '.', '/', ':', '*', '+', '-', '@', '~', '%'>> {};
struct gap : pegtl::star<pegtl::space> {};
template <char... Text>
struct keyword : pegtl::seq<pegtl::string<Text...>, pegtl::not_at<name_char>, gap> {};
struct kw_and : keyword<'a', 'n', 'd'> {};
struct kw_or : keyword<'o', 'r'> {};
struct kw_not : keyword<'n', 'o', 't'> {};
struct kw_header : keyword<'h', 'e', 'a', 'd', 'e', 'r'> {};

struct plain_value : pegtl::plus<name_char> {};
struct quoted_text : pegtl::plus<pegtl::not_one<'\''>> {};
struct quoted_value : pegtl::if_must<pegtl::one<'\''>, quoted_text, pegtl::one<'\''>> {};
struct value : pegtl::sor<quoted_value, plain_value> {};
struct equal : pegtl::one<'='> {};
struct unequal : pegtl::string<'!', '='> {};
struct relation : pegtl::sor<equal, unequal> {};

struct subject
    : pegtl::seq<pegtl::sor<pegtl::string<'r', 'o', 'u', 't', 'e'>, pegtl::string<'c', 'l', 'a', 's', 's'>,
                            pegtl::string<'t', 'e', 'n', 'a', 'n', 't'>, pegtl::string<'p', 'l', 'a', 'n'>,
                            pegtl::string<'m', 'e', 't', 'h', 'o', 'd'>>,
                 pegtl::not_at<name_char>> {};
struct field_name : pegtl::seq<pegtl::not_at<pegtl::sor<kw_and, kw_or, kw_not>>, pegtl::plus<name_char>> {};

struct word_is : pegtl::if_must<subject, gap, relation, gap, value, gap> {};
struct field_is_rule
    : pegtl::if_must<kw_header, field_name, gap, pegtl::opt<pegtl::if_must<relation, gap, value, gap>>> {};

struct any_of;
struct one;
struct closing : pegtl::one<')'> {};
struct group : pegtl::if_must<pegtl::seq<pegtl::one<'('>, gap>, any_of, closing, gap> {};
struct negation : pegtl::if_must<kw_not, one> {};
struct one : pegtl::sor<negation, group, field_is_rule, word_is> {};
struct all_of : pegtl::list_must<one, kw_and> {};
struct any_of : pegtl::list_must<all_of, kw_or> {};
struct whole : pegtl::seq<gap, pegtl::must<any_of>, pegtl::must<pegtl::eof>> {};

// The error message for each grammar rule that has to match and does not.
struct messages {
  template <typename>
  static constexpr const char* message = "invalid condition";
  template <typename>
  static constexpr bool raise_on_failure = false;  // errors are raised only by must<>
};
constexpr const char* kConditionExpected =
    "expected a condition: route, class, tenant, plan or method with a value, a header, \"not\" or \"(\"";
template <>
constexpr const char* messages::message<any_of> = kConditionExpected;
template <>
constexpr const char* messages::message<all_of> = kConditionExpected;
template <>
constexpr const char* messages::message<one> = kConditionExpected;
template <>
constexpr const char* messages::message<relation> = "expected \"=\" or \"!=\"";
template <>
constexpr const char* messages::message<value> =
    "expected a value; put one with other characters between two of '";
template <>
constexpr const char* messages::message<quoted_text> =
    "a value must not be empty; for an absent header write: not header NAME";
template <>
constexpr const char* messages::message<pegtl::one<'\''>> = "this value is not closed: put a ' where it ends";
template <>
constexpr const char* messages::message<field_name> = "expected the name of a header";
template <>
constexpr const char* messages::message<closing> = "expected \")\", \"and\" or \"or\"";
template <>
constexpr const char* messages::message<pegtl::eof> = "expected \"and\", \"or\" or the end of the condition";
template <typename Rule>
using control = pegtl::must_if<messages>::control<Rule>;

// The rules that get a node in the parse tree. `all_of` and `any_of` get one only for several parts; "=" gets
// none, so the second child of a comparison is either `unequal` or its value.
template <typename Rule>
using selector = pegtl::parse_tree::selector<
    Rule, pegtl::parse_tree::store_content::on<plain_value, quoted_text, subject, field_name>,
    pegtl::parse_tree::remove_content::on<unequal, word_is, field_is_rule, negation>,
    pegtl::parse_tree::fold_one::on<all_of, any_of>>;

using Node = pegtl::parse_tree::node;

constexpr std::array<std::pair<std::string_view, Subject>, 5> kSubjects = {{{"route", Subject::kRoute},
                                                                            {"class", Subject::kClass},
                                                                            {"tenant", Subject::kTenant},
                                                                            {"plan", Subject::kPlan},
                                                                            {"method", Subject::kMethod}}};

Condition built(const Node& node) {
  if (node.is_type<word_is>() || node.is_type<field_is_rule>()) {
    const std::string first = node.children.front()->string();
    const bool differs = node.children.size() > 1 && node.children[1]->is_type<unequal>();
    Condition c;
    c.op = Condition::Op::kIs;
    if (node.is_type<word_is>()) {
      c.subject = std::find_if(kSubjects.begin(), kSubjects.end(), [&](const auto& s) {
                    return s.first == first;
                  })->second;
    } else {
      c.subject = Subject::kField;
      c.name = first;
      for (char& letter : c.name)
        letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter;
      if (node.children.size() == 1) c.op = Condition::Op::kPresent;
    }
    if (c.op == Condition::Op::kIs) c.value = node.children.back()->string();
    return differs ? negated(std::move(c)) : c;
  }
  if (node.is_type<negation>()) return negated(built(*node.children.front()));
  std::vector<Condition> parts;
  for (const auto& child : node.children) parts.push_back(built(*child));
  return node.is_type<all_of>() ? all(std::move(parts)) : any(std::move(parts));
}

std::string quoted_if_needed(const std::string& text) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("_./:*+-@~%").find(c) != std::string_view::npos;
  });
  return plain ? text : "'" + text + "'";
}

}  // namespace

Parsed parse_condition(std::string_view text) {
  if (text.size() > kMaxTextBytes) return {{}, "a condition must be at most 1,024 bytes", kMaxTextBytes + 1};
  pegtl::memory_input in(text.data(), text.size(), "");
  try {
    const auto root = pegtl::parse_tree::parse<whole, selector, pegtl::nothing, control>(in);
    return {built(*root->children.front()), "", 0};
  } catch (const pegtl::parse_error& error) {
    return {{}, std::string(error.message()), error.positions().front().byte + 1};
  }
}

std::string text_of(const Condition& c) {
  switch (c.op) {
    case Condition::Op::kAlways:
      return "";
    case Condition::Op::kIs:
      if (c.subject == Subject::kField) return "header " + c.name + " = " + quoted_if_needed(c.value);
      return std::string(kSubjects[static_cast<std::size_t>(c.subject)].first) + " = " +
             quoted_if_needed(c.value);
    case Condition::Op::kPresent:
      return "header " + c.name;
    case Condition::Op::kNot:
      return "not " + text_of(c.parts.front());
    case Condition::Op::kAll:
    case Condition::Op::kAny: {
      std::string text;
      for (const Condition& part : c.parts) {
        if (!text.empty()) text += c.op == Condition::Op::kAll ? " and " : " or ";
        text += text_of(part);
      }
      return "(" + text + ")";
    }
  }
  return "";
}

}  // namespace shorelead::affinity
