#include "gateway/PeerCall.h"

#include "gateway/TextFields.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::gateway {

std::string
Encode(const PeerCall& aCall)
{
  return fmt::format("{:x};{};{};{};{};{};{};{}",
                     aCall.mTarget.mBits,
                     aCall.mService,
                     aCall.mCallerService,
                     aCall.mRoute,
                     aCall.mObjectiveRemaining.count(),
                     aCall.mTimeRemaining.count(),
                     aCall.mRetryPermille,
                     aCall.mCostRequested ? 1 : 0);
}

core::Expected<PeerCall>
DecodePeerCall(std::string_view aText)
{
  constexpr std::size_t kFieldCount = 8;
  const auto fields = SplitText(aText, ';');
  const auto fail = [] {
    return core::Fail(core::ErrorKind::ProtocolError,
                      "the request does not come from a node of this version");
  };
  if (fields.size() != kFieldCount) {
    return fail();
  }
  const auto target = ParseNumber<std::uint64_t>(fields[0], 16);
  const auto objective = ParseNumber<std::int64_t>(fields[4]);
  const auto remaining = ParseNumber<std::int64_t>(fields[5]);
  const auto retryPermille = ParseNumber<std::uint32_t>(fields[6]);
  if (!target || !objective || !remaining || !retryPermille ||
      fields[1].empty()) {
    return fail();
  }
  PeerCall call;
  call.mTarget.mBits = *target;
  call.mService = fields[1];
  call.mCallerService = fields[2];
  call.mRoute = fields[3];
  call.mObjectiveRemaining = std::chrono::milliseconds(*objective);
  call.mTimeRemaining = std::chrono::milliseconds(*remaining);
  call.mRetryPermille = *retryPermille;
  call.mCostRequested = fields[7] == "1";
  return call;
}

} // namespace nutmegrock::gateway
