#pragma once

#include <cstdint>

namespace nutmegrock::membership {

/// What other members observed about a member. At the same refutation counter a
/// later value overrides an earlier one.
enum class Liveness : std::uint8_t
{
  Alive,
  Suspect,
  Dead
};

} // namespace nutmegrock::membership
