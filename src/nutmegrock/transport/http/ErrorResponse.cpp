#include "transport/http/ErrorResponse.h"

#include <cpprest/json.h>
#include <string>
#include <utility>

namespace nutmegrock::transport::http {

Response
ErrorResponse(const core::Error& aError)
{
  const core::ErrorRow& row = core::RowOf(aError.mKind);
  const std::string name(row.mName);
  const std::string retry =
    row.mAdvice == core::RetryAdvice::No
      ? "no"
      : "after-ms=" + std::to_string(aError.mRetryAfter.count());
  auto json = web::json::value::object();
  json["error"] = web::json::value::string(name);
  json["message"] = web::json::value::string(aError.mMessage);
  std::string body = json.serialize();

  Response response;
  response.mHead.mStatus = row.mStatus;
  response.mHead.mHeaders = { { "Content-Type", "application/json" },
                              { "Nutmegrock-Error", name },
                              { "Nutmegrock-Run",
                                std::string(core::NameOf(aError.mRun)) },
                              { "Nutmegrock-Retry", retry } };
  response.mHead.mBodySize = body.size();
  response.mBody = StringBody(std::move(body));
  return response;
}

} // namespace nutmegrock::transport::http
