#include "core/Address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::core {

std::string
Address::ToString() const
{
  if (mIp.find(':') != std::string::npos) {
    return fmt::format("[{}]:{}", mIp, mPort);
  }
  return fmt::format("{}:{}", mIp, mPort);
}

Expected<Address>
Address::Parse(std::string_view aText)
{
  const auto invalid = [aText] {
    return Fail(ErrorKind::InvalidSettings,
                fmt::format("\"{}\" is not an IP address and port", aText));
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return invalid();
  }
  std::string_view ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code code;
  const auto parsed = boost::asio::ip::make_address(std::string(ip), code);
  if (code) {
    return invalid();
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc{} || end != digits.data() + digits.size() ||
      port == 0) {
    return invalid();
  }
  return Address{ parsed.to_string(), port };
}

} // namespace nutmegrock::core
