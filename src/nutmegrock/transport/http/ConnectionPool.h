#pragma once

#include "transport/http/HttpBackendClientSettings.h"
#include "transport/http/PooledConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace nutmegrock::transport::http {

/// Bounded keep-alive connections to one address. Those who wait for one are
/// served first in, first out. Safe from any thread.
class ConnectionPool
{
public:
  /// Receives a connection, open or still to be connected. It must go back
  /// with Release(). Called on any thread.
  using Grant = std::function<void(std::unique_ptr<PooledConnection>)>;

  ConnectionPool(boost::asio::io_context& aIo,
                 const HttpBackendClientSettings& aSettings,
                 boost::asio::ip::tcp::endpoint aEndpoint);

  /// Grants at once if a connection is idle or may be opened, otherwise when
  /// one is released. aKey names the waiting one for Forget().
  void Acquire(const void* aKey, Grant aGrant);
  /// Drops a waiting one.
  void Forget(const void* aKey);
  /// Gives a connection back; one that may not be reused is closed.
  void Release(std::unique_ptr<PooledConnection> aConnection, bool aReusable);
  /// Closes idle connections and keeps none open from now on.
  void Close();

  const HttpBackendClientSettings& Settings() const { return mSettings; }
  const boost::asio::ip::tcp::endpoint& Endpoint() const { return mEndpoint; }
  boost::asio::io_context& Io() { return mIo; }
  std::size_t Connections() const;
  std::size_t Idle() const;

private:
  struct Waiting
  {
    const void* mKey;
    Grant mGrant;
  };

  /// The most recently used idle connection that is still open, or null.
  std::unique_ptr<PooledConnection> TakeIdle();

  boost::asio::io_context& mIo;
  const HttpBackendClientSettings mSettings;
  const boost::asio::ip::tcp::endpoint mEndpoint;
  mutable std::mutex mMutex;
  bool mClosed = false;
  /// In use or idle.
  std::size_t mOpen = 0;
  std::vector<std::unique_ptr<PooledConnection>> mIdle;
  std::deque<Waiting> mWaiting;
};

} // namespace nutmegrock::transport::http
