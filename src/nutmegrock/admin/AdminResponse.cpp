#include "admin/AdminResponse.h"

#include <utility>

namespace nutmegrock::admin {

AdminResponse
AdminResponse::Json(const web::json::value& aValue)
{
  AdminResponse response;
  response.mBody = aValue.serialize();
  return response;
}

AdminResponse
AdminResponse::Text(std::string aBody, std::string aContentType)
{
  AdminResponse response;
  response.mContentType = std::move(aContentType);
  response.mBody = std::move(aBody);
  return response;
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
  AdminResponse response = Json(body);
  response.mStatus = row.mStatus;
  return response;
}

} // namespace nutmegrock::admin
