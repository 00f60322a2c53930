#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace nutmegrock::core {

/// Identity of one run of a node: 64 random bits, new at each start. An address
/// that is reused by a replacement instance has another incarnation.
struct Incarnation
{
  std::uint64_t mBits = 0;

  /// Zero stands for "not known".
  bool IsKnown() const { return mBits != 0; }
  /// 16 hexadecimal digits.
  std::string ToString() const;

  auto operator<=>(const Incarnation&) const = default;
};

} // namespace nutmegrock::core
