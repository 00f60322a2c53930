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
  mHadNested = true;
  return mBudget.Grant();
}

void
ActiveCall::OnNestedEnd(std::uint32_t aGrantId,
                        std::uint32_t aUnused,
                        core::Level aLevel,
                        bool aFailed)
{
  const std::lock_guard lock(mMutex);
  mBudget.Return(aGrantId, aUnused);
  mDownstreamLevel = std::max(mDownstreamLevel, aLevel);
  mNestedFailed = mNestedFailed || aFailed;
}

core::Level
ActiveCall::LevelBelow() const
{
  const std::lock_guard lock(mMutex);
  return mDownstreamLevel;
}

bool
ActiveCall::NestedFailed() const
{
  const std::lock_guard lock(mMutex);
  return mNestedFailed;
}

bool
ActiveCall::HadNested() const
{
  const std::lock_guard lock(mMutex);
  return mHadNested;
}

std::uint32_t
ActiveCall::Close()
{
  const std::lock_guard lock(mMutex);
  return mBudget.Close();
}

} // namespace nutmegrock::node
