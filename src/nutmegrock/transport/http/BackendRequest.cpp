#include "transport/http/BackendRequest.h"

#include "transport/http/HeaderRules.h"

#include <string_view>

namespace nutmegrock::transport::http {

namespace {

namespace beast_http = boost::beast::http;

// RFC 9110, 8.6: methods without a defined body may omit the length of an empty
// one.
bool
CanOmitLength(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "DELETE" ||
         aMethod == "OPTIONS" || aMethod == "TRACE";
}

} // namespace

void
FillRequest(const CallHead& aHead,
            const core::Address& aAddress,
            std::optional<std::uint64_t> aBodySize,
            BackendRequest& aRequest)
{
  aRequest.version(11);
  aRequest.method_string(aHead.mMethod);
  aRequest.target(aHead.mTarget);
  AddHeaders(aHead.mHeaders, aRequest);
  if (aRequest.find(beast_http::field::host) == aRequest.end()) {
    aRequest.set(beast_http::field::host, aAddress.ToString());
  }
  if (!aBodySize) {
    aRequest.chunked(true);
  } else if (*aBodySize > 0 || !CanOmitLength(aHead.mMethod)) {
    aRequest.content_length(*aBodySize);
  }
}

} // namespace nutmegrock::transport::http
