#pragma once

#include "core/Importance.h"
#include "core/RequestId.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace nutmegrock::core {

/// Context of a customer request, known to each of its hops. The entry node
/// sets it from the profile; a nested call inherits it and cannot raise its
/// limits.
struct CallContext
{
  RequestId mRequest;
  TimePoint mDeadline;
  /// Maximum time in one admission queue.
  Duration mMaxWait{ 0 };
  std::string mProfile;
  Importance mImportance = Importance::Normal;
  bool mIdempotent = true;
  /// Remaining retries of this call and all calls below it.
  std::uint32_t mRetryBudget = 0;
  /// Number of hops above this one; 0 at the entry node.
  std::uint32_t mDepth = 0;
  /// Idempotency key of a call that must run at most once; empty otherwise.
  std::string mKey;

  bool operator==(const CallContext&) const = default;
};

/// Maximum depth of a call chain, in hops.
constexpr std::uint32_t kMaxDepth = 32;

} // namespace nutmegrock::core
