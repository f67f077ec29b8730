#include "language/syntax.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <tao/pegtl.hpp>
#include <utility>

namespace shorelead::language {
namespace {

namespace pegtl = tao::pegtl;

constexpr int kMaxDepth = 64;  // of nested blocks: guards the recursive parser against a stack overflow
constexpr std::array<std::string_view, 12> kUnits = {"us",  "ms",  "s",   "min", "h",   "B",
                                                     "KiB", "MiB", "GiB", "rps", "rpm", "%"};

struct Token {
  enum class Kind { kWord, kString, kOpenString, kVariable, kOpen, kClose, kEnd, kLine, kComment, kInvalid };
  Kind kind;
  std::string text;
  Place place;
};

// ---- the lexer (PEGTL); any text yields tokens, so that no error ends the parsing ----

struct word_char
    : pegtl::sor<pegtl::alnum, pegtl::one<'_', '.', '/', ':', '*', '+', '-', '@', '~', '%', '='>> {};
struct word : pegtl::plus<word_char> {};
struct variable : pegtl::seq<pegtl::one<'$'>, pegtl::plus<pegtl::sor<pegtl::alnum, pegtl::one<'_'>>>> {};
struct escaped : pegtl::seq<pegtl::one<'\\'>, pegtl::not_one<'\n'>> {};
struct string_part : pegtl::star<pegtl::sor<escaped, pegtl::not_one<'"', '\\', '\n'>>> {};
struct string : pegtl::seq<pegtl::one<'"'>, string_part, pegtl::one<'"'>> {};
struct open_string : pegtl::seq<pegtl::one<'"'>, pegtl::star<pegtl::not_one<'\n'>>> {};
struct comment : pegtl::seq<pegtl::one<'#'>, pegtl::star<pegtl::not_one<'\n'>>> {};
struct line_end : pegtl::one<'\n'> {};
struct blank : pegtl::plus<pegtl::one<' ', '\t', '\r'>> {};
struct open : pegtl::one<'{'> {};
struct close : pegtl::one<'}'> {};
struct end : pegtl::one<';'> {};
struct invalid : pegtl::any {};
struct tokens : pegtl::until<pegtl::eof, pegtl::sor<blank, line_end, comment, string, open_string, variable,
                                                    word, open, close, end, invalid>> {};

struct Lexer {
  std::string file;
  std::vector<Token> tokens;
};

template <typename Rule>
struct action {};

template <Token::Kind K>
struct add_token {
  template <typename Input>
  static void apply(const Input& in, Lexer& lexer) {
    const auto at = in.position();
    Place place{lexer.file, static_cast<int>(at.line), static_cast<int>(at.column),
                std::max(1, static_cast<int>(in.size()))};
    lexer.tokens.push_back({K, in.string(), std::move(place)});
  }
};
template <>
struct action<word> : add_token<Token::Kind::kWord> {};
template <>
struct action<variable> : add_token<Token::Kind::kVariable> {};
template <>
struct action<string> : add_token<Token::Kind::kString> {};
template <>
struct action<open_string> : add_token<Token::Kind::kOpenString> {};
template <>
struct action<comment> : add_token<Token::Kind::kComment> {};
template <>
struct action<line_end> : add_token<Token::Kind::kLine> {};
template <>
struct action<open> : add_token<Token::Kind::kOpen> {};
template <>
struct action<close> : add_token<Token::Kind::kClose> {};
template <>
struct action<end> : add_token<Token::Kind::kEnd> {};
template <>
struct action<invalid> : add_token<Token::Kind::kInvalid> {};

// ---- the parser: hand-written, so that it can recover from each syntax error and report it once ----

class Builder {
 public:
  Builder(std::vector<Token> tokens, Tree& tree) : tokens_(std::move(tokens)), tree_(tree) {}

  void build() { tree_.statements = block(nullptr, tree_.closing_comments); }

 private:
  const Token* peek() const { return position_ < tokens_.size() ? &tokens_[position_] : nullptr; }

  void problem(const Place& place, std::string cause, std::string hint = "") {
    Problem p{place, std::move(cause), std::move(hint), "", {}};
    if (place.line >= 1 && place.line <= static_cast<int>(tree_.lines.size())) {
      p.line = tree_.lines[static_cast<std::size_t>(place.line) - 1];
    }
    tree_.problems.push_back(std::move(p));
  }

  std::vector<Statement> block(const Place* opened, std::vector<std::string>& closing_comments) {
    std::vector<Statement> statements;
    std::vector<std::string> comments;
    int lines = 0;
    bool blank_line_before = false;
    while (const Token* token = peek()) {
      switch (token->kind) {
        case Token::Kind::kLine:
          blank_line_before = blank_line_before ||
                              (++lines > 1 && (!statements.empty() || !comments.empty()) && comments.empty());
          ++position_;
          continue;
        case Token::Kind::kEnd:
          ++position_;
          continue;
        case Token::Kind::kComment:
          lines = 0;
          comments.push_back(trimmed(token->text));
          ++position_;
          continue;
        case Token::Kind::kClose:
          if (opened != nullptr) {
            ++position_;
            closing_comments = std::move(comments);
            return statements;
          }
          problem(token->place, "\"}\" closes nothing", "take it out, or open a block with \"{\" before it");
          ++position_;
          continue;
        case Token::Kind::kWord:
          statements.push_back(statement());
          statements.back().comments_before = std::exchange(comments, {});
          statements.back().blank_line_before = std::exchange(blank_line_before, false);
          lines = 0;
          continue;
        default:
          report_statement_start(*token);
          if (token->kind == Token::Kind::kOpen) {
            with_block({});  // parsed to report the errors in it and to find its end
          } else {
            skip_line();
          }
          continue;
      }
    }
    if (opened != nullptr) problem(*opened, "this block is not closed", "put a \"}\" where it ends");
    closing_comments = std::move(comments);
    return statements;
  }

  void report_statement_start(const Token& token) {
    switch (token.kind) {
      case Token::Kind::kOpen:
        return problem(token.place, "\"{\" stands without a name before it",
                       "a block begins with its kind, as in: class check {");
      case Token::Kind::kOpenString:
        return problem(token.place, "this string is not closed on its line", "put a \" where it ends");
      case Token::Kind::kInvalid:
        return problem(token.place, "\"" + token.text + "\" means nothing here",
                       "texts that hold it stand in quotation marks");
      default:
        return problem(token.place, "a line begins with a name, not with " + shortened(token),
                       "as in: aim 410 ms");
    }
  }

  static std::string shortened(const Token& token) {
    return token.text.size() > 30 ? token.text.substr(0, 30) + "..." : token.text;
  }

  static std::string trimmed(std::string text) {
    text.erase(text.find_last_not_of(" \t\r") + 1);
    return text;
  }

  void skip_line() {
    while (peek() != nullptr && peek()->kind != Token::Kind::kLine) ++position_;
  }

  Statement statement() {
    Statement s;
    s.name = tokens_[position_].text;
    s.place = tokens_[position_].place;
    ++position_;
    while (const Token* token = peek()) {
      switch (token->kind) {
        case Token::Kind::kWord:
        case Token::Kind::kVariable:
        case Token::Kind::kString:
          take_value(s, *token);
          ++position_;
          continue;
        case Token::Kind::kOpen:
          return with_block(std::move(s));
        case Token::Kind::kComment:
          s.trailing_comment = trimmed(token->text);
          ++position_;
          continue;
        case Token::Kind::kOpenString:
          problem(token->place, "this string is not closed on its line", "put a \" where it ends");
          s.values.push_back({Value::Kind::kString, token->text.substr(1), 0, "", token->place});
          ++position_;
          continue;
        case Token::Kind::kInvalid:
          problem(token->place, "\"" + token->text + "\" means nothing here",
                  "texts that hold it stand in quotation marks");
          skip_line();
          return s;
        case Token::Kind::kEnd:
          ++position_;
          return s;
        case Token::Kind::kLine:
        case Token::Kind::kClose:
          return s;
      }
    }
    return s;
  }

  Statement with_block(Statement s) {
    const Place opened = tokens_[position_].place;
    ++position_;
    s.has_block = true;
    if (peek() != nullptr && peek()->kind == Token::Kind::kComment) {
      s.trailing_comment = trimmed(peek()->text);
      ++position_;
    }
    if (++depth_ > kMaxDepth) {
      problem(opened, "blocks stand more than 64 deep in each other");
      position_ = tokens_.size();
    } else {
      s.block = block(&opened, s.closing_comments);
    }
    --depth_;
    return s;
  }

  void take_value(Statement& s, const Token& token) {
    Value v;
    v.place = token.place;
    v.text = token.text;
    if (token.kind == Token::Kind::kVariable) {
      v.kind = Value::Kind::kVariable;
      v.text = token.text.substr(1);
    } else if (token.kind == Token::Kind::kString) {
      v.kind = Value::Kind::kString;
      v.text = content(token);
    } else if (!s.values.empty() && s.values.back().kind == Value::Kind::kNumber &&
               s.values.back().unit.empty() && is_unit(token.text)) {
      Value& number = s.values.back();
      number.unit = token.text;
      number.place.width = token.place.column + token.place.width - number.place.column;
      return;
    } else {
      as_number(v);
    }
    s.values.push_back(std::move(v));
  }

  static void as_number(Value& v) {
    double number = 0;
    const char* const end = v.text.data() + v.text.size();
    const char first = v.text[v.text[0] == '-' && v.text.size() > 1 ? 1 : 0];
    if (first < '0' || first > '9') return;
    const auto [rest, error] = std::from_chars(v.text.data(), end, number, std::chars_format::fixed);
    const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    if (error != std::errc() || (!unit.empty() && !is_unit(unit))) return;
    v.kind = Value::Kind::kNumber;
    v.number = number;
    v.unit = unit;
    v.text.resize(v.text.size() - unit.size());
  }

  std::string content(const Token& token) {
    std::string text;
    for (std::size_t n = 1; n + 1 < token.text.size(); ++n) {
      char c = token.text[n];
      if (c == '\\') {
        c = token.text[++n];
        if (c == 'n')
          c = '\n';
        else if (c == 't')
          c = '\t';
        else if (c != '"' && c != '\\') {
          Place place = token.place;
          place.column += static_cast<int>(n) - 1;
          place.width = 2;
          problem(place, std::string("\"\\") + c + "\" is no escape", "strings know \\\" \\\\ \\n and \\t");
        }
      }
      text += c;
    }
    return text;
  }

  std::vector<Token> tokens_;
  Tree& tree_;
  std::size_t position_ = 0;
  int depth_ = 0;
};

// ---- formatting ----

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    if (c == '\n')
      out += "\\n";
    else if (c == '\t')
      out += "\\t";
    else
      out += c;
  }
  return out + "\"";
}

void write(const Value& v, std::string& out) {
  out += ' ';
  switch (v.kind) {
    case Value::Kind::kString:
      out += quoted(v.text);
      break;
    case Value::Kind::kVariable:
      out += "$" + v.text;
      break;
    case Value::Kind::kNumber:
    case Value::Kind::kWord:
      out += v.text;
      if (!v.unit.empty()) out += " " + v.unit;
      break;
  }
}

void write(const std::vector<Statement>& statements, const std::string& indent, std::string& out) {
  bool first = true;
  for (const Statement& s : statements) {
    if (s.blank_line_before && !first) out += "\n";
    first = false;
    for (const std::string& comment : s.comments_before) out += indent + comment + "\n";
    out += indent + s.name;
    for (const Value& value : s.values) write(value, out);
    if (s.has_block) out += " {";
    if (!s.trailing_comment.empty()) out += "  " + s.trailing_comment;
    out += "\n";
    if (!s.has_block) continue;
    write(s.block, indent + "  ", out);
    for (const std::string& comment : s.closing_comments) out += indent + "  " + comment + "\n";
    out += indent + "}\n";
  }
}

}  // namespace

bool is_unit(std::string_view word) { return std::find(kUnits.begin(), kUnits.end(), word) != kUnits.end(); }

bool Statement::same(const Statement& o) const {
  return name == o.name && has_block == o.has_block && comments_before == o.comments_before &&
         trailing_comment == o.trailing_comment && closing_comments == o.closing_comments &&
         std::equal(values.begin(), values.end(), o.values.begin(), o.values.end(),
                    [](const Value& x, const Value& y) { return x.same(y); }) &&
         std::equal(block.begin(), block.end(), o.block.begin(), o.block.end(),
                    [](const Statement& x, const Statement& y) { return x.same(y); });
}

bool Tree::same(const Tree& o) const {
  return closing_comments == o.closing_comments &&
         std::equal(statements.begin(), statements.end(), o.statements.begin(), o.statements.end(),
                    [](const Statement& x, const Statement& y) { return x.same(y); });
}

std::string Problem::text() const {
  const auto where = [](const Place& p) {
    return p.file + ":" + std::to_string(p.line) + ":" + std::to_string(p.column);
  };
  std::string out = where(place) + (warning ? ": warning: " : ": error: ") + cause + "\n";
  if (!line.empty()) {
    out += "    " + line + "\n    ";
    for (int n = 1; n < place.column; ++n) {
      out += static_cast<std::size_t>(n) <= line.size() && line[static_cast<std::size_t>(n) - 1] == '\t'
                 ? '\t'
                 : ' ';
    }
    out += std::string(static_cast<std::size_t>(std::max(1, place.width)), '^') + "\n";
  }
  if (!hint.empty()) out += "  help: " + hint + "\n";
  for (const auto& [other, what] : related) out += "  " + where(other) + ": " + what + "\n";
  return out;
}

Tree parse(std::string_view text, const std::string& file) {
  Tree tree;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    std::string_view line = text.substr(from, end - from);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    tree.lines.emplace_back(line);
    from = end + 1;
  }
  Lexer lexer;
  lexer.file = file;
  pegtl::memory_input in(text.data(), text.size(), file);
  pegtl::parse<tokens, action>(in, lexer);
  Builder(std::move(lexer.tokens), tree).build();
  return tree;
}

std::string format(const Tree& tree) {
  std::string out;
  write(tree.statements, "", out);
  if (!tree.closing_comments.empty() && !tree.statements.empty()) out += "\n";
  for (const std::string& comment : tree.closing_comments) out += comment + "\n";
  return out;
}

}  // namespace shorelead::language
