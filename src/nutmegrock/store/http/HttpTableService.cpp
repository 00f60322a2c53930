#include "store/http/HttpTableService.h"

#include <charconv>
#include <cpprest/json.h>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::store::http {

namespace {

using core::ErrorKind;
using core::Fail;

/// Parses "\"17\"". Fails with StoreUnavailable, because a response without a
/// version carries no information about the row.
core::Expected<std::uint64_t>
ParseETag(const std::string& aETag)
{
  std::uint64_t version = 0;
  const char* end = aETag.data() + aETag.size();
  if (aETag.size() < 3 || aETag.front() != '"' || aETag.back() != '"' ||
      std::from_chars(aETag.data() + 1, end - 1, version).ptr != end - 1 ||
      version == 0) {
    return Fail(ErrorKind::StoreUnavailable,
                fmt::format("the table service returned the ETag {}",
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
  const auto response = mClient.Send({ "GET", PathOf(aKey), {}, {} });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->mStatus == 404) {
    return std::optional<Row>();
  }
  if (response->mStatus != 200) {
    return UnexpectedStatus("reading", aKey, response->mStatus);
  }
  return ParseETag(response->mETag).map([&](std::uint64_t aVersion) {
    return std::optional(Row{ aKey, response->mBody, aVersion });
  });
}

core::Expected<std::vector<Row>>
HttpTableService::Scan(const std::string& aPrefix,
                       const std::string& aFrom,
                       std::size_t aLimit)
{
  const auto response =
    mClient.Send({ "GET",
                   fmt::format("/table?prefix={}&from={}&limit={}",
                               EncodeSegment(aPrefix),
                               EncodeSegment(aFrom),
                               aLimit),
                   {},
                   {} });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->mStatus != 200) {
    return UnexpectedStatus("scanning", aPrefix, response->mStatus);
  }
  try {
    std::vector<Row> rows;
    const auto list = web::json::value::parse(response->mBody);
    for (const auto& entry : list.as_array()) {
      rows.push_back({ entry.at("key").as_string(),
                       entry.at("value").as_string(),
                       entry.at("version").as_number().to_uint64() });
    }
    return rows;
  } catch (const std::exception& exception) {
    return Fail(
      ErrorKind::StoreUnavailable,
      fmt::format("the table service returned an invalid scan result: {}",
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
  const auto response = mClient.Send(request);
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->mStatus == 412) {
    return Fail(
      ErrorKind::VersionConflict,
      fmt::format("row \"{}\" does not have version {}", aKey, aExpected));
  }
  if (response->mStatus != 200) {
    return UnexpectedStatus("writing", aKey, response->mStatus);
  }
  return ParseETag(response->mETag);
}

core::Expected<bool>
HttpTableService::Remove(const std::string& aKey)
{
  const auto response = mClient.Send({ "DELETE", PathOf(aKey), {}, {} });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  // 404 means that there was no row to remove.
  if (response->mStatus != 204 && response->mStatus != 200 &&
      response->mStatus != 404) {
    return UnexpectedStatus("removing", aKey, response->mStatus);
  }
  return true;
}

} // namespace nutmegrock::store::http
