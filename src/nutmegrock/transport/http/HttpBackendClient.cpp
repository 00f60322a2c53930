#include "transport/http/HttpBackendClient.h"

#include "transport/http/BackendExchange.h"
#include "transport/http/ConnectionPool.h"
#include "transport/tcp/Acceptor.h"

#include <utility>

namespace nutmegrock::transport::http {

HttpBackendClient::HttpBackendClient(std::shared_ptr<ConnectionPool> aPool)
  : mPool(std::move(aPool))
{
}

core::Expected<std::unique_ptr<HttpBackendClient>>
HttpBackendClient::Create(boost::asio::io_context& aIo,
                          const HttpBackendClientSettings& aSettings)
{
  const auto endpoint = tcp::EndpointOf(aSettings.mAddress);
  if (!endpoint) {
    return tl::make_unexpected(endpoint.error());
  }
  if (aSettings.mMaxConnections == 0) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      "at least one connection to the backend server is required");
  }
  auto pool = std::make_shared<ConnectionPool>(aIo, aSettings, *endpoint);
  return std::unique_ptr<HttpBackendClient>(
    new HttpBackendClient(std::move(pool)));
}

HttpBackendClient::~HttpBackendClient()
{
  mPool->Close();
}

void
HttpBackendClient::Send(Call aCall,
                        core::TimePoint aDeadline,
                        ResponseHandler aHandler)
{
  std::make_shared<BackendExchange>(
    mPool, std::move(aCall), aDeadline, std::move(aHandler))
    ->Start();
}

std::size_t
HttpBackendClient::Connections() const
{
  return mPool->Connections();
}

std::size_t
HttpBackendClient::Idle() const
{
  return mPool->Idle();
}

} // namespace nutmegrock::transport::http
