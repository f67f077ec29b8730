// Loads a configuration written in the configuration language (.shore): maps the checked document to Config.
// The same deployment written as JSON and as .shore behaves the same. A document with errors is rejected.
#pragma once

#include <string>

#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

bool is_shore(const std::string& path);
// Throws FieldError with every error of the files, each with file, line and column.
Config load_shore(const std::string& path, const Overrides& overrides, const language::Reader& reader);

}  // namespace shorelead::node
