#include "overload/RequestChain.h"

#include <algorithm>

namespace nutmegrock::overload {

double
PartOf(std::uint64_t aHash)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  return static_cast<double>(aHash >> 11U) * kScale;
}

double
RankOf(std::uint32_t aPriority, std::uint64_t aHash)
{
  const auto priority = std::min<std::size_t>(aPriority, kPriorities - 1);
  return static_cast<double>(priority) + PartOf(aHash);
}

} // namespace nutmegrock::overload
