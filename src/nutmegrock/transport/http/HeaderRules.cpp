#include "transport/http/HeaderRules.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>
#include <iterator>

namespace nutmegrock::transport::http {

namespace {

namespace beast_http = boost::beast::http;

// The listener itself responds to Expect.
constexpr std::array<std::string_view, 11> kHopByHop = { "Connection",
                                                         "Content-Length",
                                                         "Expect",
                                                         "Keep-Alive",
                                                         "Proxy-Authorization",
                                                         "Proxy-Connection",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Proxy-Authenticate" };

bool
IsTokenCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(aCharacter) !=
           std::string_view::npos;
}

bool
IsControl(char aCharacter)
{
  const auto code = static_cast<unsigned char>(aCharacter);
  return code < 0x20 || code == 0x7f;
}

std::string_view
ToStringView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
    return IsControl(aCharacter) && aCharacter != '\t';
  });
}

bool
IsTarget(std::string_view aText)
{
  return !aText.empty() && aText.front() == '/' &&
         std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsControl(aCharacter) || aCharacter == ' ';
         });
}

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHop.begin(), kHopByHop.end(), [aName](std::string_view aHop) {
      return aHop.size() == aName.size() &&
             boost::algorithm::iequals(aHop, aName);
    });
}

bool
HasClearFraming(const beast_http::fields& aFields, unsigned aVersion)
{
  constexpr unsigned kHttp11 = 11;
  const auto codings =
    aFields.equal_range(beast_http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return true;
  }
  return aVersion >= kHttp11 && std::next(codings.first) == codings.second &&
         boost::algorithm::iequals(ToStringView(codings.first->value()),
                                   "chunked") &&
         aFields.find(beast_http::field::content_length) == aFields.end();
}

Headers
EndToEndHeaders(const beast_http::fields& aFields)
{
  const auto named = aFields.equal_range(beast_http::field::connection);
  const auto is_named = [&named](std::string_view aName) {
    return std::any_of(named.first, named.second, [aName](const auto& aField) {
      return beast_http::token_list(aField.value())
        .exists(boost::beast::string_view(aName.data(), aName.size()));
    });
  };
  Headers headers;
  for (const auto& field : aFields) {
    const std::string_view name = ToStringView(field.name_string());
    if (!IsHopByHop(name) && !is_named(name)) {
      headers.push_back(
        { std::string(name), std::string(ToStringView(field.value())) });
    }
  }
  return headers;
}

void
AddHeaders(const Headers& aHeaders, beast_http::fields& aFields)
{
  for (const Header& header : aHeaders) {
    if (IsToken(header.mName) && IsFieldValue(header.mValue) &&
        !IsHopByHop(header.mName)) {
      aFields.insert(header.mName, header.mValue);
    }
  }
}

} // namespace nutmegrock::transport::http
