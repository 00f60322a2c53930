#include "proxy/ConnectionChoice.h"

#include <algorithm>
#include <tuple>

namespace nutmegrock::proxy {

namespace {

/// Connections idle for a shorter time may have a request on the way, and
/// callers without progress for a shorter time may wait for a retransmission.
constexpr std::chrono::milliseconds kMinWait{ 500 };
/// Closing a connection that holds less frees no memory worth the request, in
/// bytes.
constexpr std::size_t kMinBytes = std::size_t{ 4 } * 1024;

} // namespace

std::optional<std::size_t>
ChooseForRoom(core::TimePoint aNow,
              const std::vector<ConnectionState>& aConnections)
{
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const ConnectionState& state = aConnections[i];
    if (state.mWait == ConnectionWait::Node || aNow - state.mSince < kMinWait) {
      continue;
    }
    if (!chosen ||
        std::tie(state.mWait, state.mSince) <
          std::tie(aConnections[*chosen].mWait, aConnections[*chosen].mSince)) {
      chosen = i;
    }
  }
  return chosen;
}

std::vector<std::size_t>
ChooseForMemory(core::TimePoint aNow,
                const std::vector<ConnectionState>& aConnections,
                std::size_t aBytes)
{
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    if (aConnections[i].mBytes >= kMinBytes) {
      order.push_back(i);
    }
  }
  const auto progresses = [&](std::size_t aIndex) {
    const ConnectionState& state = aConnections[aIndex];
    return state.mWait != ConnectionWait::Caller ||
           aNow - state.mSince < kMinWait;
  };
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const bool left = progresses(aLeft);
      const bool right = progresses(aRight);
      return std::tie(left, aConnections[aRight].mBytes, aLeft) <
             std::tie(right, aConnections[aLeft].mBytes, aRight);
    });
  std::size_t freed = 0;
  std::size_t count = 0;
  while (count < order.size() && freed < aBytes) {
    freed += aConnections[order[count++]].mBytes;
  }
  order.resize(count);
  return order;
}

} // namespace nutmegrock::proxy
