// A run's record as a file, so that it can be judged again: JSON, one schema ("shorelead-lab-records/5"). It
// must never read a record that is not whole.
#pragma once

#include <string>

#include "lab/records.h"

namespace shorelead::lab {

std::string records_to_json(const Run& run);
// Throws std::runtime_error with the cause.
Run records_from_json(const std::string& text);

}  // namespace shorelead::lab
