#include "node/CallerHeaders.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::node {

namespace {

constexpr std::size_t kMaxValueLength = 256;
constexpr std::chrono::milliseconds kMaxTimeout = std::chrono::hours(24);
constexpr std::string_view kHeaderPrefix = "Nutmegrock-";
constexpr std::array<std::string_view, 9> kHopByHop = {
  "Connection",          "Keep-Alive", "Proxy-Connection",
  "Transfer-Encoding",   "TE",         "Trailer",
  "Proxy-Authorization", "Upgrade",    "Content-Length"
};

core::Expected<std::string>
ReadValue(const transport::Headers& aHeaders, std::string_view aName)
{
  const std::string* value = transport::FindHeader(aHeaders, aName);
  if (value == nullptr) {
    return std::string();
  }
  if (value->empty() || value->size() > kMaxValueLength) {
    return core::Fail(
      core::ErrorKind::BadRequest,
      fmt::format("{} must have 1 to {} characters", aName, kMaxValueLength));
  }
  return *value;
}

core::Expected<std::chrono::milliseconds>
ParseTimeout(const std::string& aText)
{
  std::int64_t milliseconds = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, status] = std::from_chars(aText.data(), last, milliseconds);
  if (status != std::errc{} || end != last || milliseconds <= 0 ||
      milliseconds > kMaxTimeout.count()) {
    return core::Fail(core::ErrorKind::BadRequest,
                      fmt::format("{} must be from 1 to {}, not \"{}\"",
                                  kDeadlineHeader,
                                  kMaxTimeout.count(),
                                  aText));
  }
  return std::chrono::milliseconds(milliseconds);
}

} // namespace

core::Expected<CallerHeaders>
CallerHeaders::Parse(const transport::Headers& aHeaders)
{
  CallerHeaders parsed;
  struct Field
  {
    std::string_view mName;
    std::string* mTarget;
  };
  std::string request;
  std::string timeout;
  const std::array<Field, 6> fields = {
    Field{ kRequestHeader, &request },
    Field{ kDeadlineHeader, &timeout },
    Field{ kProfileHeader, &parsed.mProfile },
    Field{ kKeyHeader, &parsed.mKey },
    Field{ kCallHeader, &parsed.mCall },
    Field{ kStepHeader, &parsed.mStep }
  };
  for (const Field& field : fields) {
    auto value = ReadValue(aHeaders, field.mName);
    if (!value) {
      return tl::make_unexpected(value.error());
    }
    *field.mTarget = std::move(*value);
  }
  if (!request.empty()) {
    auto identity = core::RequestId::Parse(request);
    if (!identity) {
      return tl::make_unexpected(identity.error());
    }
    parsed.mRequest = std::move(*identity);
  }
  if (!timeout.empty()) {
    const auto parsed_timeout = ParseTimeout(timeout);
    if (!parsed_timeout) {
      return tl::make_unexpected(parsed_timeout.error());
    }
    parsed.mTimeout = *parsed_timeout;
  }
  return parsed;
}

transport::Headers
EndToEndHeaders(const transport::Headers& aHeaders)
{
  transport::Headers kept;
  for (const transport::Header& header : aHeaders) {
    const auto same = [&header](std::string_view aName) {
      return boost::algorithm::iequals(header.mName, aName);
    };
    if (!boost::algorithm::istarts_with(header.mName, kHeaderPrefix) &&
        std::none_of(kHopByHop.begin(), kHopByHop.end(), same)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace nutmegrock::node
