#include "retry/RetryBudget.h"

#include <algorithm>

namespace nutmegrock::retry {

RetryBudget::RetryBudget(std::uint32_t aInitial)
  : mRemaining(aInitial)
{
}

RetryGrant
RetryBudget::Grant()
{
  const RetryGrant grant{ mNextId++, mRemaining / 2 + mRemaining % 2 };
  if (grant.mAmount > 0) {
    mRemaining -= grant.mAmount;
    mOpen.push_back(grant);
  }
  return grant;
}

void
RetryBudget::Return(std::uint32_t aGrantId, std::uint32_t aUnused)
{
  const auto found =
    std::find_if(mOpen.begin(), mOpen.end(), [&](const RetryGrant& aGrant) {
      return aGrant.mId == aGrantId;
    });
  if (found == mOpen.end()) {
    return;
  }
  mRemaining += std::min(aUnused, found->mAmount);
  mOpen.erase(found);
}

bool
RetryBudget::Spend()
{
  if (mRemaining == 0) {
    return false;
  }
  --mRemaining;
  return true;
}

std::uint32_t
RetryBudget::Close()
{
  const std::uint32_t remaining = mRemaining;
  mRemaining = 0;
  mOpen.clear();
  return remaining;
}

} // namespace nutmegrock::retry
