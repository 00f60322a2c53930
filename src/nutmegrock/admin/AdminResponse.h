#pragma once

#include "core/Error.h"

#include <cpprest/json.h>
#include <map>
#include <string>

namespace nutmegrock::admin {

/// The answer of a handler of the administration API.
struct AdminResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  std::map<std::string, std::string> mHeaders;

  /// 200 with a JSON value.
  static AdminResponse Json(const web::json::value& aValue);
  /// 200 with text of a content type.
  static AdminResponse Text(std::string aBody, std::string aContentType);
  /// {"error", "message", "details"} with the status of the error's kind.
  static AdminResponse Error(
    const core::Error& aError,
    const web::json::value& aDetails = web::json::value::object());
};

} // namespace nutmegrock::admin
