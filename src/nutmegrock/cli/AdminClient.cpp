#include "cli/AdminClient.h"

#include "admin/AdminServer.h"

#include <utility>

namespace nutmegrock::cli {

namespace {

/// Longer than the attempts at the store by the node during one publication:
/// three for each of five store calls with 2 s each, and the delays between
/// them.
constexpr std::chrono::seconds kTimeout{ 60 };

} // namespace

std::string
AdminClient::Response::StringField(const std::string& aField) const
{
  return mBody.is_object() && mBody.has_string_field(aField)
           ? mBody.at(aField).as_string()
           : "";
}

core::Expected<AdminClient>
AdminClient::Make(const core::Address& aAdmin)
{
  auto client = store::http::StoreClient::Make(
    { .mUrl = "http://" + aAdmin.ToString(), .mTimeout = kTimeout });
  if (!client) {
    return tl::make_unexpected(client.error());
  }
  return AdminClient(std::move(*client));
}

AdminClient::AdminClient(store::http::StoreClient aClient)
  : mClient(std::move(aClient))
{
}

core::Expected<AdminClient::Response>
AdminClient::Send(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody,
                  const std::map<std::string, std::string>& aHeaders) const
{
  const auto response = mClient.Send(
    { aMethod, admin::AdminServer::kVersionPath + aPath, aHeaders, aBody });
  if (!response) {
    return core::Fail(core::ErrorKind::BackendUnreachable,
                      response.error().mMessage);
  }
  try {
    return Response{ response->mStatus,
                     web::json::value::parse(response->mBody) };
  } catch (const std::exception&) {
    return core::Fail(core::ErrorKind::BackendUnreachable,
                      "the answer is not from the administration API");
  }
}

} // namespace nutmegrock::cli
