#pragma once

#include "core/Address.h"
#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace nutmegrock::experiment {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

/// Result of one exchange. If mError is set, there is no complete response.
struct HttpResult
{
  boost::system::error_code mError;
  /// True if a connection was established; otherwise nothing was sent.
  bool mConnected = false;
  HttpResponse mResponse;
};

using HttpHandler = std::function<void(HttpResult)>;

/// Asynchronous HTTP/1.1 client with a pool of idle connections per address.
/// Thread-safe. Handlers run on a thread of the io_context.
class PooledClient : public std::enable_shared_from_this<PooledClient>
{
public:
  class Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  static std::shared_ptr<PooledClient> Create(
    boost::asio::io_context& aContext);

  /// Sends one request. The handler is called exactly once, after aTimeout at
  /// the latest.
  ExchangePtr Send(const core::Address& aAddress,
                   HttpRequest aRequest,
                   core::Duration aTimeout,
                   HttpHandler aHandler);
  /// Closes the connection of an exchange in progress; its handler receives
  /// operation_aborted.
  static void Cancel(const ExchangePtr& aExchange);
  /// Closes all idle connections.
  void CloseIdle();

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  explicit PooledClient(boost::asio::io_context& aContext);
  ConnectionPtr TakeIdle(const core::Address& aAddress);
  void Return(const core::Address& aAddress, ConnectionPtr aConnection);

  boost::asio::io_context& mContext;
  std::mutex mMutex;
  std::map<core::Address, std::vector<ConnectionPtr>> mIdle;
};

} // namespace nutmegrock::experiment
