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

/// Bounded pool of keep-alive connections to one address. Waiters are served
/// first in, first out. Thread-safe.
class ConnectionPool
{
public:
  /// Receives a connection, open or still to be connected, which must be
  /// returned with Release(). Called on any thread.
  using Grant = std::function<void(std::unique_ptr<PooledConnection>)>;

  ConnectionPool(boost::asio::io_context& aIo,
                 const HttpBackendClientSettings& aSettings,
                 boost::asio::ip::tcp::endpoint aEndpoint);

  /// Grants at once if a connection is idle or may be opened, otherwise when
  /// one is released. aKey identifies the waiter for CancelAcquire().
  void Acquire(const void* aKey, Grant aGrant);
  /// Removes a waiter.
  void CancelAcquire(const void* aKey);
  /// Returns a connection to the pool; one that may not be reused is closed.
  void Release(std::unique_ptr<PooledConnection> aConnection, bool aReusable);
  /// Closes idle connections, and those in use when they are released.
  void Close();

  const HttpBackendClientSettings& Settings() const { return mSettings; }
  const boost::asio::ip::tcp::endpoint& Endpoint() const { return mEndpoint; }
  boost::asio::io_context& Io() { return mIo; }
  std::size_t Connections() const;
  std::size_t Idle() const;

private:
  struct Waiter
  {
    const void* mKey;
    Grant mGrant;
  };

  /// Removes and returns the most recently used idle connection that is still
  /// open, or null.
  std::unique_ptr<PooledConnection> TakeIdle();

  boost::asio::io_context& mIo;
  const HttpBackendClientSettings mSettings;
  const boost::asio::ip::tcp::endpoint mEndpoint;
  mutable std::mutex mMutex;
  bool mClosed = false;
  /// Connections in use or idle.
  std::size_t mOpen = 0;
  std::vector<std::unique_ptr<PooledConnection>> mIdle;
  std::deque<Waiter> mWaiters;
};

} // namespace nutmegrock::transport::http
