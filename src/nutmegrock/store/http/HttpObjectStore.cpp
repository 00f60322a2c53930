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
  const auto answer =
    mClient.Send({ "GET", "/object/" + EncodeSegment(aName), {}, {} });
  if (!answer) {
    return tl::make_unexpected(answer.error());
  }
  if (answer->mStatus == 404) {
    return std::optional<std::string>();
  }
  if (answer->mStatus != 200) {
    return UnexpectedStatus("reading", aName, answer->mStatus);
  }
  return std::optional(answer->mBody);
}

core::Expected<bool>
HttpObjectStore::Put(const std::string& aName, const std::string& aBytes)
{
  const auto answer =
    mClient.Send({ "PUT", "/object/" + EncodeSegment(aName), {}, aBytes });
  if (!answer) {
    return tl::make_unexpected(answer.error());
  }
  if (answer->mStatus < 200 || answer->mStatus > 299) {
    return UnexpectedStatus("writing", aName, answer->mStatus);
  }
  return true;
}

} // namespace nutmegrock::store::http
