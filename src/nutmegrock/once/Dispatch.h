#pragma once

#include "once/IdempotencyKey.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::once {

/// One attempt of a key's owner to send the call to an executor. Attempts are
/// numbered, so that an executor that refused one can still run a later one.
struct Dispatch
{
  IdempotencyKey mKey;
  /// Starts at 1.
  std::uint32_t mNumber = 0;

  /// Text form of the key followed by the number.
  std::string ToString(std::string_view aSecret) const;
  /// Parses and verifies the output of ToString(). Fails with KeyInvalid.
  static core::Expected<Dispatch> Parse(std::string_view aText,
                                        std::string_view aSecret);

  auto operator<=>(const Dispatch&) const = default;
};

} // namespace nutmegrock::once
