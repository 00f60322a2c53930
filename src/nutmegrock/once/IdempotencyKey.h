#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Incarnation.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::once {

/// Key of a call that must run at most once. It names the node run that issued
/// it, its owner; only the owner ever dispatches the call.
struct IdempotencyKey
{
  core::Incarnation mOwner;
  /// Peer address of the owner.
  core::Address mAddress;
  /// Rises with each key of the owner; starts at 1.
  std::uint64_t mSequence = 0;

  /// The key as text, at most 128 characters, with an HMAC-SHA256 (RFC 2104)
  /// under aSecret, shortened to 64 bits. Without the secret no valid key can
  /// be made up.
  std::string ToString(std::string_view aSecret) const;
  /// Reads and verifies what ToString() writes. Fails with KeyInvalid.
  static core::Expected<IdempotencyKey> Parse(std::string_view aText,
                                              std::string_view aSecret);

  auto operator<=>(const IdempotencyKey&) const = default;
};

} // namespace nutmegrock::once
