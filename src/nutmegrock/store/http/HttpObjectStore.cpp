#include "store/http/HttpObjectStore.h"

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::store::http {

namespace {

tl::unexpected<core::Error>
UnexpectedStatus(std::string_view aAction,
                 const std::string& aName,
                 unsigned aStatus)
{
  return core::Fail(
    core::ErrorKind::StoreUnavailable,
    fmt::format("{} object \"{}\": status {}", aAction, aName, aStatus));
}

} // namespace

core::Expected<std::unique_ptr<HttpObjectStore>>
HttpObjectStore::Make(const StoreSettings& aSettings)
{
  auto client = StoreClient::Make(aSettings);
  if (!client) {
    return tl::make_unexpected(client.error());
  }
  return std::unique_ptr<HttpObjectStore>(
    new HttpObjectStore(std::move(*client)));
}

HttpObjectStore::HttpObjectStore(StoreClient aClient)
  : mClient(std::move(aClient))
{
}

core::Expected<std::optional<std::string>>
HttpObjectStore::Get(const std::string& aName)
{
  const auto response =
    mClient.Send({ "GET", "/object/" + EncodeSegment(aName), {}, {} });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->mStatus == 404) {
    return std::optional<std::string>();
  }
  if (response->mStatus != 200) {
    return UnexpectedStatus("reading", aName, response->mStatus);
  }
  return std::optional(response->mBody);
}

core::Expected<bool>
HttpObjectStore::Put(const std::string& aName, const std::string& aBytes)
{
  const auto response =
    mClient.Send({ "PUT", "/object/" + EncodeSegment(aName), {}, aBytes });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->mStatus < 200 || response->mStatus > 299) {
    return UnexpectedStatus("writing", aName, response->mStatus);
  }
  return true;
}

} // namespace nutmegrock::store::http
