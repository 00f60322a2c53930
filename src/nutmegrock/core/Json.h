#pragma once

#include "core/Error.h"

#include <cpprest/json.h>
#include <string>

namespace nutmegrock::core {

/// Parses a JSON document. Fails with BadRequest.
Expected<web::json::value>
ParseJson(const std::string& aText);

} // namespace nutmegrock::core
