#include "core/Json.h"

#include <exception>

namespace nutmegrock::core {

Expected<web::json::value>
ParseJson(const std::string& aText)
{
  try {
    return web::json::value::parse(aText);
  } catch (const std::exception& exception) {
    // An invalid surrogate pair is a std::range_error, not a json_exception.
    return Fail(ErrorKind::BadRequest, exception.what());
  }
}

} // namespace nutmegrock::core
