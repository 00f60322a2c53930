#include "overload/CallerWindows.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// The calling nodes limit runs of their servers, and a run is not always in a
/// call.
constexpr double kOversubscription = 1.06;
/// Factor by which the window grows per update while there is room.
constexpr double kGrowth = 1.05;

} // namespace

void
CallerWindows::OnStart(std::uint32_t aNode)
{
  ++mInProgress[aNode];
}

void
CallerWindows::OnEnd(std::uint32_t aNode)
{
  const auto found = mInProgress.find(aNode);
  if (found != mInProgress.end() && --found->second == 0) {
    mInProgress.erase(found);
  }
}

// Nodes that use less than an equal share leave the rest to the others.
double
CallerWindows::Fill(double aRoom)
{
  mSorted.clear();
  for (const auto& [node, calls] : mInProgress) {
    mSorted.push_back(calls);
  }
  std::sort(mSorted.begin(), mSorted.end());
  double left = aRoom;
  for (std::size_t i = 0; i < mSorted.size(); ++i) {
    const double share = left / static_cast<double>(mSorted.size() - i);
    if (mSorted[i] >= share) {
      return share;
    }
    left -= mSorted[i];
  }
  return aRoom;
}

void
CallerWindows::Update(std::uint32_t aLimit, std::uint32_t aDirect)
{
  const double room =
    std::max(1.0, kOversubscription * aLimit - static_cast<double>(aDirect));
  double total = 0;
  for (const auto& [node, calls] : mInProgress) {
    total += calls;
  }
  if (total > room) {
    mWindow = std::max(1.0, Fill(room));
  } else if (mWindow <= 0) {
    mWindow = room;
  } else {
    mWindow = std::min(room, mWindow * kGrowth + 1);
  }
}

std::uint32_t
CallerWindows::Window() const
{
  return static_cast<std::uint32_t>(std::ceil(mWindow));
}

} // namespace nutmegrock::overload
