#pragma once

#include "core/CallContext.h"
#include "core/Level.h"
#include "retry/RetryBudget.h"
#include "transport/Cancellation.h"

#include <mutex>
#include <string>

namespace nutmegrock::node {

/// A call that this node has passed, or is about to pass, to its backend
/// server. Calls nested in it find it by its token. Safe from any thread.
class ActiveCall
{
public:
  ActiveCall(core::CallContext aContext,
             std::string aToken,
             transport::CancellationPtr aCancellation);

  const core::CallContext& Context() const { return mContext; }
  const std::string& Token() const { return mToken; }
  const transport::CancellationPtr& Cancel() const { return mCancellation; }

  /// Part of the retry budget for one nested call.
  retry::RetryGrant GrantRetries();
  /// A nested call ended: takes back the unused retries and the level it met.
  void OnNestedEnd(std::uint32_t aGrantId,
                   std::uint32_t aUnused,
                   core::Level aLevel,
                   bool aFailed);
  /// Highest level met by nested calls.
  core::Level LevelBelow() const;
  /// Whether a nested call failed after the hop next to the failure had decided
  /// about retries.
  bool NestedFailed() const;
  /// Whether the backend server made any nested call.
  bool HadNested() const;
  /// Ends the call; returns the unused retries.
  std::uint32_t Close();

private:
  const core::CallContext mContext;
  const std::string mToken;
  const transport::CancellationPtr mCancellation;
  mutable std::mutex mMutex;
  retry::RetryBudget mBudget;
  core::Level mDownstreamLevel;
  bool mHadNested = false;
  bool mNestedFailed = false;
};

} // namespace nutmegrock::node
