#pragma once

#include <random>

/// @file
/// The random number engine that the decision logic takes as a parameter.

namespace figlanding {

/// Pseudorandom engine. The daemon seeds it from the system; tests seed it with a constant.
using RandomEngine = std::mt19937_64;

} // namespace figlanding
