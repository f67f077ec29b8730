// Time as every part of the project counts it. Owns the one alias and nothing else; it must never read a
// clock.
#pragma once

namespace shorelead {

using Millis = double;  // a moment on the host's clock, or a span

}  // namespace shorelead
