// The pace of a body's sender, client or backend.
#pragma once

namespace shorelead::limits {

constexpr double kMinBodyRate = 32;  // bytes per ms, on average; slow peers send twice as much

}  // namespace shorelead::limits
