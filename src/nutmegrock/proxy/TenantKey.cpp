#include "proxy/TenantKey.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace nutmegrock::proxy {

std::string_view
TenantKeyOf(const RequestHead& aHead, const HeaderNames& aNames)
{
  std::string_view line = aHead.mKeyLines;
  constexpr std::string_view kSeparator = ": ";
  constexpr std::string_view kLineEnd = "\r\n";
  const std::size_t end = line.find(kLineEnd);
  if (end == std::string_view::npos || end + kLineEnd.size() != line.size()) {
    return {};
  }
  line = line.substr(0, end);
  line.remove_prefix(
    std::min(line.size(), line.find(kSeparator) + kSeparator.size()));
  const std::size_t space = line.find(' ');
  const std::string_view scheme = line.substr(0, space);
  if (space == std::string_view::npos ||
      !boost::beast::iequals(
        { scheme.data(), scheme.size() },
        { aNames.mKeyScheme.data(), aNames.mKeyScheme.size() })) {
    return {};
  }
  line.remove_prefix(space);
  line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
  return line;
}

} // namespace nutmegrock::proxy
