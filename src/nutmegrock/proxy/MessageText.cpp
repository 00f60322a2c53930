#include "proxy/MessageText.h"

#include <boost/beast/http/status.hpp>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::proxy {

std::string
HeaderLine(std::string_view aName, std::string_view aValue)
{
  std::string line;
  line.reserve(aName.size() + aValue.size() + 4);
  line += aName;
  line += ": ";
  line += aValue;
  line += "\r\n";
  return line;
}

std::string
StatusLine(unsigned aStatus, std::string_view aReason)
{
  if (aReason.empty()) {
    const auto standard = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(aStatus));
    aReason = { standard.data(), standard.size() };
  }
  return fmt::format("HTTP/1.1 {} {}\r\n", aStatus, aReason);
}

void
AddFraming(std::string& aText, BodyFraming aFraming, std::uint64_t aLength)
{
  switch (aFraming) {
    case BodyFraming::None:
      break;
    case BodyFraming::Length:
      fmt::format_to(
        std::back_inserter(aText), "Content-Length: {}\r\n", aLength);
      break;
    case BodyFraming::Chunked:
    case BodyFraming::UntilClose:
      aText += "Transfer-Encoding: chunked\r\n";
      break;
  }
}

void
AddChunk(std::string& aText, std::string_view aBytes)
{
  fmt::format_to(std::back_inserter(aText), "{:x}\r\n", aBytes.size());
  aText += aBytes;
  aText += "\r\n";
}

} // namespace nutmegrock::proxy
