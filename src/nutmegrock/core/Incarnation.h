#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace nutmegrock::core {

/// Identity of one run of a node: 64 random bits, new at each start. A
/// replacement instance that reuses an address has another incarnation.
struct Incarnation
{
  std::uint64_t mBits = 0;

  /// Returns true if the incarnation is known; zero means that it is not.
  bool IsKnown() const { return mBits != 0; }
  /// 16 hexadecimal digits.
  std::string ToString() const;

  auto operator<=>(const Incarnation&) const = default;
};

} // namespace nutmegrock::core
