#include "node/OutcomeResponse.h"

#include "transport/BodyTap.h"

#include <utility>

namespace nutmegrock::node {

transport::Response
ResponseOf(const once::Outcome& aOutcome)
{
  transport::Response response;
  response.mHead.mStatus = aOutcome.mStatus;
  for (const auto& [name, value] : aOutcome.mHeaders) {
    response.mHead.mHeaders.push_back({ name, value });
  }
  if (!aOutcome.mBodyKept) {
    response.mHead.mHeaders.push_back({ "Nutmegrock-Body", "not-kept" });
  }
  response.mHead.mBodySize = aOutcome.mBody.size();
  response.mBody = transport::StringBody(aOutcome.mBody);
  return response;
}

void
CaptureOutcome(
  transport::Response aResponse,
  std::function<void(OutcomePtr, core::Expected<transport::Response>)> aHandler)
{
  const transport::BodyReaderPtr body = aResponse.mBody;
  body->Next([response = std::move(aResponse), handler = std::move(aHandler)](
               core::Expected<transport::BodyChunk> aChunk) mutable {
    once::Outcome outcome;
    outcome.mStatus = response.mHead.mStatus;
    for (const transport::Header& header : response.mHead.mHeaders) {
      outcome.mHeaders.emplace_back(header.mName, header.mValue);
    }
    outcome.mBodyKept = aChunk && aChunk->mLast &&
                        aChunk->mBytes.size() <= once::Outcome::kMaxBody;
    if (outcome.mBodyKept) {
      outcome.mBody = aChunk->mBytes;
    }
    auto kept = std::make_shared<const once::Outcome>(std::move(outcome));
    if (!aChunk) {
      handler(std::move(kept), tl::make_unexpected(aChunk.error()));
      return;
    }
    response.mBody =
      transport::PrefixedBody(std::move(*aChunk), std::move(response.mBody));
    handler(std::move(kept), std::move(response));
  });
}

} // namespace nutmegrock::node
