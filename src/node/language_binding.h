// A configuration in our own language (.shore) as what a node is told. Owns the mapping from the checked
// document to Config; a deployment said in both forms behaves the same. It must never take a document with a
// mistake.
#pragma once

#include <string>

#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

bool is_shore(const std::string& path);
// Throws FieldError with every mistake of the files, each with its place.
Config load_shore(const std::string& path, const Overrides& overrides, const language::Reader& reader);

}  // namespace shorelead::node
