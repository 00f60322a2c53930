#include "transport/Call.h"

#include <boost/algorithm/string/predicate.hpp>

namespace nutmegrock::transport {

const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (boost::algorithm::iequals(header.mName, aName)) {
      return &header.mValue;
    }
  }
  return nullptr;
}

} // namespace nutmegrock::transport
