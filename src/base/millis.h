// The unit of time throughout the project.
#pragma once

namespace shorelead {

using Millis = double;  // a time on the host's clock, or a duration

}  // namespace shorelead
