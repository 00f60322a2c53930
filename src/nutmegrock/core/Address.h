#pragma once

#include "core/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::core {

/// IP address and port of a process.
struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  /// "10.0.0.1:7000" or "[::1]:7000".
  std::string ToString() const;
  /// Parses the output of ToString(). Fails with InvalidSettings.
  static Expected<Address> Parse(std::string_view aText);

  auto operator<=>(const Address&) const = default;
};

} // namespace nutmegrock::core
