#pragma once

#include "once/IdempotencyKey.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::once {

/// One sending of a key by its owner to an executor. The owner numbers them, so
/// that an executor that refused one may still run a later one.
struct Dispatch
{
  IdempotencyKey mKey;
  /// Starts at 1.
  std::uint32_t mNumber = 0;

  /// The key's text with the number.
  std::string ToString(std::string_view aSecret) const;
  /// Reads and verifies what ToString() writes. Fails with KeyInvalid.
  static core::Expected<Dispatch> Parse(std::string_view aText,
                                        std::string_view aSecret);

  auto operator<=>(const Dispatch&) const = default;
};

} // namespace nutmegrock::once
