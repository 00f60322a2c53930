#include "gateway/PeerCall.h"

#include "gateway/TextFields.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::gateway {

namespace {

/// Number of fields without that of the tenant, which is left out if empty, so
/// that nodes of the version before tenants understand the others.
constexpr std::size_t kFieldCount = 11;

} // namespace

std::string
Encode(const PeerCall& aCall)
{
  return fmt::format("{:x};{};{};{};{};{};{};{};{};{};{:x}{}{}",
                     aCall.mTarget.mBits,
                     aCall.mService,
                     aCall.mCallerService,
                     aCall.mRoute,
                     aCall.mTimeRemaining.count(),
                     aCall.mRetryPermille,
                     aCall.mCostRequested ? 1 : 0,
                     aCall.mRankPermille,
                     aCall.mDemandRankPermille,
                     aCall.mFinishWithin.count(),
                     aCall.mCallingNode,
                     aCall.mTenant.empty() ? "" : ";",
                     EscapeText(aCall.mTenant));
}

core::Expected<PeerCall>
DecodePeerCall(std::string_view aText)
{
  const auto fields = SplitText(aText, ';');
  const auto fail = [] {
    return core::Fail(core::ErrorKind::ProtocolError,
                      "the request does not come from a node of this version");
  };
  const bool has_tenant = fields.size() == kFieldCount + 1;
  if (fields.size() != kFieldCount && !has_tenant) {
    return fail();
  }
  const auto tenant =
    has_tenant ? UnescapeText(fields[kFieldCount]) : std::string();
  if (!tenant || has_tenant == tenant->empty()) {
    return fail();
  }
  const auto target = ParseNumber<std::uint64_t>(fields[0], 16);
  const auto remaining = ParseNumber<std::int64_t>(fields[4]);
  const auto retry = ParseNumber<std::uint32_t>(fields[5]);
  const auto rank = ParseNumber<std::uint32_t>(fields[7]);
  const auto demand_rank = ParseNumber<std::uint32_t>(fields[8]);
  const auto finish = ParseNumber<std::int64_t>(fields[9]);
  const auto calling_node = ParseNumber<std::uint32_t>(fields[10], 16);
  if (!target || !remaining || !retry || !rank || !demand_rank || !finish ||
      !calling_node || fields[1].empty()) {
    return fail();
  }
  PeerCall call;
  call.mTarget.mBits = *target;
  call.mService = fields[1];
  call.mCallerService = fields[2];
  call.mRoute = fields[3];
  call.mTimeRemaining = std::chrono::milliseconds(*remaining);
  call.mRetryPermille = *retry;
  call.mCostRequested = fields[6] == "1";
  call.mRankPermille = *rank;
  call.mDemandRankPermille = *demand_rank;
  call.mFinishWithin = std::chrono::milliseconds(*finish);
  call.mCallingNode = *calling_node;
  call.mTenant = *tenant;
  return call;
}

} // namespace nutmegrock::gateway
