#include "admin/AdminResponse.h"

#include <utility>

namespace nutmegrock::admin {

AdminResponse
AdminResponse::Json(const web::json::value& aValue)
{
  AdminResponse answer;
  answer.mBody = aValue.serialize();
  return answer;
}

AdminResponse
AdminResponse::Text(std::string aBody, std::string aContentType)
{
  AdminResponse answer;
  answer.mContentType = std::move(aContentType);
  answer.mBody = std::move(aBody);
  return answer;
}

AdminResponse
AdminResponse::Error(const core::Error& aError,
                     const web::json::value& aDetails)
{
  const core::ErrorRow& row = core::RowOf(aError.mKind);
  web::json::value body = web::json::value::object();
  body["error"] = web::json::value::string(std::string(row.mName));
  body["message"] = web::json::value::string(aError.mMessage);
  body["details"] = aDetails;
  AdminResponse answer = Json(body);
  answer.mStatus = row.mStatus;
  return answer;
}

} // namespace nutmegrock::admin
