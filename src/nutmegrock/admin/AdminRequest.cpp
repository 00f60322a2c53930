#include "admin/AdminRequest.h"

namespace nutmegrock::admin {

std::string
AdminRequest::ValueOf(const Values& aValues, std::string_view aName)
{
  const auto found = aValues.find(aName);
  return found == aValues.end() ? "" : found->second;
}

} // namespace nutmegrock::admin
