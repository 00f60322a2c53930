#pragma once

#include "core/Error.h"

#include <cpprest/json.h>
#include <map>
#include <string>

namespace nutmegrock::admin {

/// A response of the administration API.
struct AdminResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  std::map<std::string, std::string> mHeaders;

  /// Response with status 200 and a JSON body.
  static AdminResponse Json(const web::json::value& aValue);
  /// Response with status 200 and a body of a content type.
  static AdminResponse Text(std::string aBody, std::string aContentType);
  /// Response with the HTTP status of the error kind and the JSON body
  /// {"error", "message", "details"}.
  static AdminResponse Error(
    const core::Error& aError,
    const web::json::value& aDetails = web::json::value::object());
};

} // namespace nutmegrock::admin
