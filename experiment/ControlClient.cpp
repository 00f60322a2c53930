#include "experiment/ControlClient.h"

namespace nutmegrock::experiment {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

bool
Succeeded(const HttpResult& aResult)
{
  return !aResult.mError && aResult.mResponse.result_int() / 100 == 2;
}

} // namespace

HttpResult
Exchange(const core::Address& aAddress,
         http::verb aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         core::Duration aTimeout,
         const std::string& aOperation)
{
  boost::asio::io_context context(1);
  const auto client = PooledClient::Create(context);
  HttpRequest request(aMethod, aTarget, 11);
  request.set(http::field::host, aAddress.ToString());
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  if (!aOperation.empty()) {
    request.set("X-Operation", aOperation);
  }
  request.body() = aBody;
  HttpResult result;
  client->Send(aAddress,
               std::move(request),
               aTimeout,
               [&result](HttpResult aResult) { result = std::move(aResult); });
  context.run();
  return result;
}

std::string
Get(const core::Address& aAddress, const std::string& aTarget)
{
  auto result = Exchange(aAddress, http::verb::get, aTarget, "", kTimeout);
  return Succeeded(result) ? std::move(result.mResponse.body()) : std::string();
}

bool
Post(const core::Address& aAddress,
     const std::string& aTarget,
     const std::string& aBody)
{
  return Succeeded(
    Exchange(aAddress, http::verb::post, aTarget, aBody, kTimeout));
}

} // namespace nutmegrock::experiment
