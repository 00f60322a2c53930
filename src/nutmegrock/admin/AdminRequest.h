#pragma once

#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::admin {

/// A request to the administration API.
struct AdminRequest
{
  using Values = std::map<std::string, std::string, std::less<>>;

  std::string mMethod;
  /// Path without the query, percent-encoded.
  std::string mPath;
  /// Values of the {name} segments of the route pattern, decoded.
  Values mVariables;
  /// Query parameters, decoded.
  Values mQuery;
  /// Headers by lower-case name.
  Values mHeaders;
  std::string mBody;

  /// Returns a value of one of the maps, or the empty string.
  static std::string ValueOf(const Values& aValues, std::string_view aName);
};

} // namespace nutmegrock::admin
