#include "node/OutcomeResponse.h"

#include "transport/BodyTap.h"

#include <utility>

namespace nutmegrock::node {

transport::Response
ResponseOf(const once::Outcome& aOutcome)
{
  transport::Response answer;
  answer.mHead.mStatus = aOutcome.mStatus;
  for (const auto& [name, value] : aOutcome.mHeaders) {
    answer.mHead.mHeaders.push_back({ name, value });
  }
  if (!aOutcome.mBodyKept) {
    answer.mHead.mHeaders.push_back({ "Nutmegrock-Body", "not-kept" });
  }
  answer.mHead.mBodySize = aOutcome.mBody.size();
  answer.mBody = transport::StringBody(aOutcome.mBody);
  return answer;
}

void
KeepOutcome(
  transport::Response aResponse,
  std::function<void(OutcomePtr, core::Expected<transport::Response>)> aHandler)
{
  const transport::BodyReaderPtr body = aResponse.mBody;
  body->Next([answer = std::move(aResponse), handler = std::move(aHandler)](
               core::Expected<transport::BodyChunk> aChunk) mutable {
    once::Outcome outcome;
    outcome.mStatus = answer.mHead.mStatus;
    for (const transport::Header& header : answer.mHead.mHeaders) {
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
    answer.mBody =
      transport::PrefixedBody(std::move(*aChunk), std::move(answer.mBody));
    handler(std::move(kept), std::move(answer));
  });
}

} // namespace nutmegrock::node
