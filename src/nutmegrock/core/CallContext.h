#pragma once

#include "core/Importance.h"
#include "core/RequestId.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace nutmegrock::core {

/// What every hop of one customer request knows about it. Set at the entry node
/// from the profile; a nested call inherits it and cannot widen it.
struct CallContext
{
  RequestId mRequest;
  TimePoint mDeadline;
  /// Longest time in one admission queue.
  Duration mMaxWait{ 0 };
  std::string mProfile;
  Importance mImportance = Importance::Normal;
  bool mIdempotent = true;
  /// Further attempts that this call and all calls below it may still use.
  std::uint32_t mRetryBudget = 0;
  /// Number of hops above this one; 0 at the entry.
  std::uint32_t mDepth = 0;
  /// Key of a call that must run at most once; empty otherwise.
  std::string mKey;

  bool operator==(const CallContext&) const = default;
};

/// Deepest accepted call chain.
constexpr std::uint32_t kMaxDepth = 32;

} // namespace nutmegrock::core
