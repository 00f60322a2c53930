#include "tests/soak/Timeline.h"

#include <algorithm>

namespace nutmegrock::tests {

void
Timeline::Add(double aFrom, double aTo)
{
  const std::lock_guard lock(mMutex);
  mSpans.emplace_back(aFrom, aTo);
}

bool
Timeline::IsDisturbed(double aFrom, double aTo) const
{
  const std::lock_guard lock(mMutex);
  return std::any_of(mSpans.begin(), mSpans.end(), [&](const auto& aSpan) {
    return aSpan.first <= aTo && aSpan.second >= aFrom;
  });
}

} // namespace nutmegrock::tests
