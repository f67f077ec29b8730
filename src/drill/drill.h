// Hosts instances of the decision module on the bench's wire: reads batches, feeds each event to the
// instance it names and writes one reply per batch. Instances share nothing.
#pragma once

#include <istream>
#include <ostream>

namespace shorelead::drill {

// Runs until input ends. Returns the exit code: 0 when input ended between batches, 1 on malformed input,
// of which one line on `errors` names the line's number and the cause.
int run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace shorelead::drill
