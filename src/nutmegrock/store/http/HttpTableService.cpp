#include "store/http/HttpTableService.h"

#include <charconv>
#include <cpprest/json.h>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::store::http {

namespace {

using core::ErrorKind;
using core::Fail;

/// Reads "\"17\"". Fails with StoreUnavailable, since an answer without a
/// version says nothing about the row.
core::Expected<std::uint64_t>
VersionOf(const std::string& aETag)
{
  std::uint64_t version = 0;
  const char* end = aETag.data() + aETag.size();
  if (aETag.size() < 3 || aETag.front() != '"' || aETag.back() != '"' ||
      std::from_chars(aETag.data() + 1, end - 1, version).ptr != end - 1 ||
      version == 0) {
    return Fail(ErrorKind::StoreUnavailable,
                fmt::format("the table service answered with the ETag {}",
                            aETag.empty() ? "missing" : aETag));
  }
  return version;
}

tl::unexpected<core::Error>
UnexpectedStatus(std::string_view aAction,
                 const std::string& aKey,
                 unsigned aStatus)
{
  return Fail(ErrorKind::StoreUnavailable,
              fmt::format("{} row \"{}\": status {}", aAction, aKey, aStatus));
}

std::string
PathOf(const std::string& aKey)
{
  return "/table/" + EncodeSegment(aKey);
}

} // namespace

core::Expected<std::unique_ptr<HttpTableService>>
HttpTableService::Make(const StoreSettings& aSettings)
{
  auto client = StoreClient::Make(aSettings);
  if (!client) {
    return tl::make_unexpected(client.error());
  }
  return std::unique_ptr<HttpTableService>(
    new HttpTableService(std::move(*client)));
}

HttpTableService::HttpTableService(StoreClient aClient)
  : mClient(std::move(aClient))
{
}

core::Expected<std::optional<Row>>
HttpTableService::Read(const std::string& aKey)
{
  const auto answer = mClient.Send({ "GET", PathOf(aKey), {}, {} });
  if (!answer) {
    return tl::make_unexpected(answer.error());
  }
  if (answer->mStatus == 404) {
    return std::optional<Row>();
  }
  if (answer->mStatus != 200) {
    return UnexpectedStatus("reading", aKey, answer->mStatus);
  }
  return VersionOf(answer->mETag).map([&](std::uint64_t aVersion) {
    return std::optional(Row{ aKey, answer->mBody, aVersion });
  });
}

core::Expected<std::vector<Row>>
HttpTableService::Scan(const std::string& aPrefix,
                       const std::string& aFrom,
                       std::size_t aLimit)
{
  const auto answer =
    mClient.Send({ "GET",
                   fmt::format("/table?prefix={}&from={}&limit={}",
                               EncodeSegment(aPrefix),
                               EncodeSegment(aFrom),
                               aLimit),
                   {},
                   {} });
  if (!answer) {
    return tl::make_unexpected(answer.error());
  }
  if (answer->mStatus != 200) {
    return UnexpectedStatus("scanning", aPrefix, answer->mStatus);
  }
  try {
    std::vector<Row> rows;
    const auto list = web::json::value::parse(answer->mBody);
    for (const auto& entry : list.as_array()) {
      rows.push_back({ entry.at("key").as_string(),
                       entry.at("value").as_string(),
                       entry.at("version").as_number().to_uint64() });
    }
    return rows;
  } catch (const std::exception& exception) {
    return Fail(ErrorKind::StoreUnavailable,
                fmt::format("the table service answered a scan with: {}",
                            exception.what()));
  }
}

core::Expected<std::uint64_t>
HttpTableService::Write(const std::string& aKey,
                        const std::string& aValue,
                        std::uint64_t aExpected)
{
  StoreClient::Request request{ "PUT", PathOf(aKey), {}, aValue };
  if (aExpected == 0) {
    request.mHeaders["If-None-Match"] = "*";
  } else {
    request.mHeaders["If-Match"] = fmt::format("\"{}\"", aExpected);
  }
  const auto answer = mClient.Send(request);
  if (!answer) {
    return tl::make_unexpected(answer.error());
  }
  if (answer->mStatus == 412) {
    return Fail(
      ErrorKind::VersionConflict,
      fmt::format("row \"{}\" does not have version {}", aKey, aExpected));
  }
  if (answer->mStatus != 200) {
    return UnexpectedStatus("writing", aKey, answer->mStatus);
  }
  return VersionOf(answer->mETag);
}

core::Expected<bool>
HttpTableService::Remove(const std::string& aKey)
{
  const auto answer = mClient.Send({ "DELETE", PathOf(aKey), {}, {} });
  if (!answer) {
    return tl::make_unexpected(answer.error());
  }
  // A 404 means that there was no row to remove.
  if (answer->mStatus != 204 && answer->mStatus != 200 &&
      answer->mStatus != 404) {
    return UnexpectedStatus("removing", aKey, answer->mStatus);
  }
  return true;
}

} // namespace nutmegrock::store::http
