#pragma once

#include "core/Error.h"
#include "routes/RouteSet.h"

#include <exception>
#include <string>

namespace nutmegrock::tests {

/// Decodes "N" as version N without routes.
inline core::Expected<routes::RouteSetSource>
DecodeNumber(const std::string& aText)
{
  routes::RouteSetSource source;
  try {
    source.mVersion = std::stoull(aText);
  } catch (const std::exception&) {
    return core::Fail(core::ErrorKind::InvalidProfiles, "not a number");
  }
  return source;
}

} // namespace nutmegrock::tests
