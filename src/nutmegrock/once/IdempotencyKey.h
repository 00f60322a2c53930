#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Incarnation.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::once {

/// Idempotency key of a call that must run at most once. It identifies its
/// owner, the node incarnation that issued it; only the owner dispatches the
/// call.
struct IdempotencyKey
{
  core::Incarnation mOwner;
  /// Peer address of the owner.
  core::Address mAddress;
  /// Increases with each key of the owner; starts at 1.
  std::uint64_t mSequence = 0;

  /// Text form of the key, at most 128 characters, with an HMAC-SHA256 (RFC
  /// 2104) under aSecret, truncated to 64 bits. A valid key cannot be forged
  /// without the secret.
  std::string ToString(std::string_view aSecret) const;
  /// Parses and verifies the output of ToString(). Fails with KeyInvalid.
  static core::Expected<IdempotencyKey> Parse(std::string_view aText,
                                              std::string_view aSecret);

  auto operator<=>(const IdempotencyKey&) const = default;
};

} // namespace nutmegrock::once
