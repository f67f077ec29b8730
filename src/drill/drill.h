// Bench adapter: runs instances of the policy in a simulator. Reads batches of events, passes each event to
// the instance it names and writes one reply per batch. Instances share no state.
#pragma once

#include <istream>
#include <ostream>

namespace shorelead::drill {

// Runs until the input ends. Returns the exit code: 0 if the input ended between batches, 1 if it is
// malformed; then one line on `errors` gives the number of the malformed line and the cause.
int run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace shorelead::drill
