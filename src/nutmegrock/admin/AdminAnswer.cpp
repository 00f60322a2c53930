#include "admin/AdminAnswer.h"

#include <utility>

namespace nutmegrock::admin {

AdminAnswer
AdminAnswer::Json(const web::json::value& aValue)
{
  AdminAnswer answer;
  answer.mBody = aValue.serialize();
  return answer;
}

AdminAnswer
AdminAnswer::Text(std::string aBody, std::string aContentType)
{
  AdminAnswer answer;
  answer.mContentType = std::move(aContentType);
  answer.mBody = std::move(aBody);
  return answer;
}

AdminAnswer
AdminAnswer::Error(const core::Error& aError, const web::json::value& aDetails)
{
  const core::ErrorRow& row = core::RowOf(aError.mKind);
  web::json::value body = web::json::value::object();
  body["error"] = web::json::value::string(std::string(row.mName));
  body["message"] = web::json::value::string(aError.mMessage);
  body["details"] = aDetails;
  AdminAnswer answer = Json(body);
  answer.mStatus = row.mStatus;
  return answer;
}

} // namespace nutmegrock::admin
