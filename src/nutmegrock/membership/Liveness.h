#pragma once

#include <cstdint>

namespace nutmegrock::membership {

/// What others found out about a member, in the order in which one overrides
/// the other at the same refutation counter.
enum class Liveness : std::uint8_t
{
  Alive,
  Suspect,
  Dead
};

} // namespace nutmegrock::membership
