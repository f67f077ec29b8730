// Turns a configuration of the old shape (a pool of nodes that clients reach over the network) into its
// counterpart for the new one (a node beside each client process). It owns that translation and the list of
// what it could not carry over. It must never touch a file: the command line reads and writes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shorelead::node {

// What only an operator knows; empty: not told, and said to be left.
struct NewShape {
  std::optional<int> nodes;  // client processes, each with its node
  std::optional<int> index;  // which of them this is, from 0
};

struct Migration {
  bool already = false;  // the text was of the new shape; nothing else is set
  std::string text;
  std::vector<std::string> changed;  // a line each: key, before, after
  std::vector<std::string> left;     // a line each: what was not carried over, and what is to be done
};

// Throws FieldError with the place and the cause where the text is no configuration of a node, or the result
// would be none. The same text and wishes give the same result.
Migration migrate(std::string_view text, const std::string& file, const NewShape& shape);

}  // namespace shorelead::node
