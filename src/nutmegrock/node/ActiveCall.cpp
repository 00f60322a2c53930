#include "node/ActiveCall.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::node {

ActiveCall::ActiveCall(core::CallContext aContext,
                       std::string aToken,
                       transport::CancellationPtr aCancellation)
  : mContext(std::move(aContext))
  , mToken(std::move(aToken))
  , mCancellation(std::move(aCancellation))
  , mBudget(mContext.mRetryBudget)
{
}

retry::RetryGrant
ActiveCall::GrantRetries()
{
  const std::lock_guard lock(mMutex);
  mHasNestedCalls = true;
  return mBudget.Grant();
}

void
ActiveCall::OnNestedCallEnd(std::uint32_t aGrantId,
                            std::uint32_t aUnusedRetries,
                            core::Level aLevel,
                            bool aFailed)
{
  const std::lock_guard lock(mMutex);
  mBudget.Return(aGrantId, aUnusedRetries);
  mDownstreamLevel = std::max(mDownstreamLevel, aLevel);
  mHasNestedFailure = mHasNestedFailure || aFailed;
}

core::Level
ActiveCall::DownstreamLevel() const
{
  const std::lock_guard lock(mMutex);
  return mDownstreamLevel;
}

bool
ActiveCall::HasNestedFailure() const
{
  const std::lock_guard lock(mMutex);
  return mHasNestedFailure;
}

bool
ActiveCall::HasNestedCalls() const
{
  const std::lock_guard lock(mMutex);
  return mHasNestedCalls;
}

std::uint32_t
ActiveCall::Close()
{
  const std::lock_guard lock(mMutex);
  return mBudget.Close();
}

} // namespace nutmegrock::node
