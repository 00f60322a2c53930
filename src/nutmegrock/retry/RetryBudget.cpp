#include "retry/RetryBudget.h"

#include <algorithm>

namespace nutmegrock::retry {

RetryBudget::RetryBudget(std::uint32_t aGiven)
  : mLeft(aGiven)
{
}

RetryGrant
RetryBudget::Grant()
{
  const RetryGrant grant{ mNextId++, mLeft / 2 + mLeft % 2 };
  if (grant.mAmount > 0) {
    mLeft -= grant.mAmount;
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
  mLeft += std::min(aUnused, found->mAmount);
  mOpen.erase(found);
}

bool
RetryBudget::Spend()
{
  if (mLeft == 0) {
    return false;
  }
  --mLeft;
  return true;
}

std::uint32_t
RetryBudget::Close()
{
  const std::uint32_t left = mLeft;
  mLeft = 0;
  mOpen.clear();
  return left;
}

} // namespace nutmegrock::retry
