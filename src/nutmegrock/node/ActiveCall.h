#pragma once

#include "core/CallContext.h"
#include "core/Level.h"
#include "retry/RetryBudget.h"
#include "transport/Cancellation.h"

#include <mutex>
#include <string>

namespace nutmegrock::node {

/// A call that this node has sent, or is about to send, to its local backend
/// server. Nested calls find it by its token. Safe from any thread.
class ActiveCall
{
public:
  ActiveCall(core::CallContext aContext,
             std::string aToken,
             transport::CancellationPtr aCancellation);

  const core::CallContext& Context() const { return mContext; }
  const std::string& Token() const { return mToken; }
  const transport::CancellationPtr& Cancel() const { return mCancellation; }

  /// Grants part of the retry budget to one nested call.
  retry::RetryGrant GrantRetries();
  /// Records the end of a nested call: returns its unused retries to the
  /// budget and merges its load shedding level.
  void OnNestedCallEnd(std::uint32_t aGrantId,
                       std::uint32_t aUnusedRetries,
                       core::Level aLevel,
                       bool aFailed);
  /// Highest load shedding level that nested calls reported.
  core::Level DownstreamLevel() const;
  /// Returns true if a nested call failed after the hop next to the failure had
  /// made its retry decision.
  bool HasNestedFailure() const;
  /// Returns true if the backend server made any nested call.
  bool HasNestedCalls() const;
  /// Ends the call. Returns the number of unused retries.
  std::uint32_t Close();

private:
  const core::CallContext mContext;
  const std::string mToken;
  const transport::CancellationPtr mCancellation;
  mutable std::mutex mMutex;
  retry::RetryBudget mBudget;
  core::Level mDownstreamLevel;
  bool mHasNestedCalls = false;
  bool mHasNestedFailure = false;
};

} // namespace nutmegrock::node
