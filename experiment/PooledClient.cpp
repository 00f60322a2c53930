#include "experiment/PooledClient.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <sys/socket.h>

namespace nutmegrock::experiment {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

struct PooledClient::Connection
{
  explicit Connection(asio::io_context& aContext)
    : mStream(asio::make_strand(aContext))
  {
  }

  /// Returns true if the peer has closed the connection or sent unexpected
  /// bytes.
  bool IsStale()
  {
    char byte = 0;
    const auto count = ::recv(
      mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

class PooledClient::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<PooledClient> aClient,
           core::Address aAddress,
           ConnectionPtr aConnection,
           HttpRequest aRequest,
           HttpHandler aHandler)
    : mClient(std::move(aClient))
    , mAddress(std::move(aAddress))
    , mConnection(std::move(aConnection))
    , mRequest(std::move(aRequest))
    , mHandler(std::move(aHandler))
  {
    mParser.body_limit(std::uint64_t{ 1 } << 30U);
  }

  void Start(bool aConnected, core::Duration aTimeout)
  {
    asio::dispatch(mConnection->mStream.get_executor(),
                   [self = shared_from_this(), aConnected, aTimeout] {
                     self->Run(aConnected, aTimeout);
                   });
  }

  void Cancel()
  {
    asio::post(mConnection->mStream.get_executor(),
               [self = shared_from_this()] {
                 self->mCancelled = true;
                 if (self->mHandler) {
                   self->mConnection->mStream.close();
                 }
               });
  }

private:
  void Run(bool aConnected, core::Duration aTimeout)
  {
    if (mCancelled) {
      Finish(asio::error::operation_aborted);
      return;
    }
    mConnection->mStream.expires_after(aTimeout);
    if (aConnected) {
      Write();
      return;
    }
    beast::error_code error;
    const auto ip = asio::ip::make_address(mAddress.mIp, error);
    if (error) {
      Finish(error);
      return;
    }
    mConnection->mStream.async_connect(
      asio::ip::tcp::endpoint(ip, mAddress.mPort),
      [self = shared_from_this()](beast::error_code aError) {
        if (aError) {
          self->Finish(aError);
          return;
        }
        beast::error_code ignored;
        self->mConnection->mStream.socket().set_option(
          asio::ip::tcp::no_delay(true), ignored);
        self->Write();
      });
  }

  void Write()
  {
    mConnected = true;
    http::async_write(
      mConnection->mStream,
      mRequest,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        // A server may respond and close before it has read a large body, so
        // the response is read even if the write fails.
        if (aError && aError != asio::error::broken_pipe &&
            aError != asio::error::connection_reset) {
          self->Finish(aError);
          return;
        }
        self->mWriteFailed = aError.failed();
        self->Read();
      });
  }

  void Read()
  {
    http::async_read(
      mConnection->mStream,
      mConnection->mBuffer,
      mParser,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        // The failed write has taken a reset from the socket, so that the read
        // reports the end of the stream instead.
        if (!aError && self->mWriteFailed && self->mParser.need_eof()) {
          aError = http::error::partial_message;
        }
        self->Finish(aError);
      });
  }

  void Finish(beast::error_code aError)
  {
    HttpResult result;
    result.mError = aError;
    result.mConnected = mConnected;
    if (!aError) {
      result.mResponse = mParser.release();
      if (result.mResponse.keep_alive() && mRequest.keep_alive() &&
          !mWriteFailed) {
        mConnection->mStream.expires_never();
        mClient->Return(mAddress, mConnection);
      } else {
        mConnection->mStream.close();
      }
    } else {
      mConnection->mStream.close();
    }
    const HttpHandler handler = std::move(mHandler);
    mHandler = nullptr;
    handler(std::move(result));
  }

  std::shared_ptr<PooledClient> mClient;
  core::Address mAddress;
  ConnectionPtr mConnection;
  HttpRequest mRequest;
  HttpHandler mHandler;
  http::response_parser<http::string_body> mParser;
  bool mConnected = false;
  bool mCancelled = false;
  bool mWriteFailed = false;
};

PooledClient::PooledClient(asio::io_context& aContext)
  : mContext(aContext)
{
}

std::shared_ptr<PooledClient>
PooledClient::Create(asio::io_context& aContext)
{
  return std::shared_ptr<PooledClient>(new PooledClient(aContext));
}

PooledClient::ExchangePtr
PooledClient::Send(const core::Address& aAddress,
                   HttpRequest aRequest,
                   core::Duration aTimeout,
                   HttpHandler aHandler)
{
  aRequest.prepare_payload();
  ConnectionPtr connection = TakeIdle(aAddress);
  const bool connected = connection != nullptr;
  if (!connected) {
    connection = std::make_shared<Connection>(mContext);
  }
  auto exchange = std::make_shared<Exchange>(shared_from_this(),
                                             aAddress,
                                             std::move(connection),
                                             std::move(aRequest),
                                             std::move(aHandler));
  exchange->Start(connected, aTimeout);
  return exchange;
}

void
PooledClient::Cancel(const ExchangePtr& aExchange)
{
  if (aExchange) {
    aExchange->Cancel();
  }
}

void
PooledClient::CloseIdle()
{
  const std::lock_guard lock(mMutex);
  mIdle.clear();
}

PooledClient::ConnectionPtr
PooledClient::TakeIdle(const core::Address& aAddress)
{
  const std::lock_guard lock(mMutex);
  auto& idle = mIdle[aAddress];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->IsStale()) {
      return connection;
    }
  }
  return nullptr;
}

void
PooledClient::Return(const core::Address& aAddress, ConnectionPtr aConnection)
{
  const std::lock_guard lock(mMutex);
  mIdle[aAddress].push_back(std::move(aConnection));
}

} // namespace nutmegrock::experiment
