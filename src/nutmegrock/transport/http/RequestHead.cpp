#include "transport/http/RequestHead.h"

#include "transport/http/HeaderRules.h"

#include <string>

namespace nutmegrock::transport::http {

namespace {

namespace beast_http = boost::beast::http;

std::string
ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

core::Expected<CallHead>
ToCallHead(const RequestParser& aParser)
{
  const auto& message = aParser.get();
  if (message.version() != 11) {
    return core::Fail(core::ErrorKind::BadRequest, "only HTTP/1.1 is accepted");
  }
  if (!HasClearFraming(message, message.version())) {
    return core::Fail(core::ErrorKind::BadRequest,
                      "the only accepted transfer coding is chunked");
  }
  CallHead head;
  head.mMethod = ToString(message.method_string());
  head.mTarget = ToString(message.target());
  if (!IsTarget(head.mTarget) || !IsToken(head.mMethod)) {
    return core::Fail(core::ErrorKind::BadRequest,
                      "the request target must be a path");
  }
  head.mHeaders = EndToEndHeaders(message);
  if (const auto length = aParser.content_length()) {
    head.mBodySize = *length;
  } else if (!aParser.chunked()) {
    head.mBodySize = 0;
  }
  return head;
}

std::optional<core::Error>
ParseErrorOf(boost::system::error_code aCode)
{
  const auto& category =
    beast_http::make_error_code(beast_http::error::bad_method).category();
  if (aCode.category() != category ||
      aCode == beast_http::error::end_of_stream ||
      aCode == beast_http::error::partial_message) {
    return std::nullopt;
  }
  return core::MakeError(aCode == beast_http::error::body_limit
                           ? core::ErrorKind::BodyTooLarge
                           : core::ErrorKind::BadRequest,
                         "HTTP: " + aCode.message());
}

} // namespace nutmegrock::transport::http
