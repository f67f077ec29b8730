#include "language/reference.h"

#include <cmath>
#include <sstream>

#include "language/check.h"
#include "language/schema.h"

namespace shorelead::language {
namespace {

const char* name_of(Type type) {
  switch (type) {
    case Type::kTime:
      return "time";
    case Type::kRate:
      return "rate";
    case Type::kShare:
      return "share";
    case Type::kSize:
      return "size";
    case Type::kCount:
      return "count";
    case Type::kNumber:
      return "number";
    case Type::kWord:
      return "word";
    case Type::kAddress:
      return "address";
    case Type::kWords:
      return "words";
    case Type::kPair:
      return "name and value";
    case Type::kShares:
      return "pool and share";
    case Type::kFlag:
      return "yes or no";
  }
  return "";
}

bool has_bounds(const Field& f) { return f.max > f.min; }

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + "\"";
}

std::string cell(std::string_view text) {
  std::string out;
  for (const char c : text) out.append(c == '|' ? "\\|" : std::string(1, c));
  return out;
}

std::string value_of(const Field& f) {
  std::string text = name_of(f.type);
  if (!f.words.empty()) {
    text.append(": ");
    for (const char c : f.words) text.append(c == '|' ? std::string(", ") : std::string(1, c));
  }
  if (has_bounds(f))
    text.append(", ").append(with_unit(f.type, f.min)).append(" to ").append(with_unit(f.type, f.max));
  return text;
}

std::string number(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

}  // namespace

std::string reference_page() {
  std::string page =
      "# Reference of the configuration language\n\n"
      "Made from the schema by `shorelead config reference`; a test holds that it is current. How the "
      "language "
      "works is in\n[configuration.md](configuration.md).\n\n"
      "Besides blocks there stand at the top: `include \"PATTERN\"`, `let NAME = VALUE`, `shared NAME { ... "
      "}`; "
      "and in any block\n`use NAME`, which puts in what is shared under that name, but for what the block "
      "says "
      "itself.\n";
  for (const Block& block : blocks()) {
    page.append("\n## ").append(block.parent.empty() ? "" : std::string(block.parent) + " / ");
    page.append(block.name).append(block.named ? " NAME" : "").append("\n\n").append(block.help).append(".");
    page.append(block.parent.empty() ? "" : " Within `" + std::string(block.parent) + "`.");
    page.append(block.single ? " There may be one.\n\n" : " There may be several.\n\n");
    page.append("| field | value | must be told | means |\n| --- | --- | --- | --- |\n");
    for (const Field& f : block.fields) {
      page.append("| `").append(f.name).append("` | ").append(cell(value_of(f))).append(" | ");
      page.append(f.required ? "yes" : "").append(" | ").append(cell(f.help)).append(" |\n");
    }
  }
  return page;
}

std::string reference_json() {
  std::string out = "{\"version\":1,\"blocks\":[";
  bool first_block = true;
  for (const Block& block : blocks()) {
    out.append(first_block ? "" : ",").append("\n{\"name\":").append(quoted(block.name));
    first_block = false;
    out.append(",\"within\":").append(quoted(block.parent));
    out.append(",\"named\":").append(block.named ? "true" : "false");
    out.append(",\"once\":").append(block.single ? "true" : "false");
    out.append(",\"means\":").append(quoted(block.help)).append(",\"fields\":[");
    bool first_field = true;
    for (const Field& f : block.fields) {
      out.append(first_field ? "" : ",").append("\n {\"name\":").append(quoted(f.name));
      first_field = false;
      out.append(",\"type\":").append(quoted(name_of(f.type)));
      out.append(",\"required\":").append(f.required ? "true" : "false");
      if (!f.words.empty()) out.append(",\"words\":").append(quoted(f.words));
      if (has_bounds(f))
        out.append(",\"least\":").append(number(f.min)).append(",\"most\":").append(number(f.max));
      out.append(",\"means\":").append(quoted(f.help)).append("}");
    }
    out.append("]}");
  }
  return out.append("]}\n");
}

}  // namespace shorelead::language
