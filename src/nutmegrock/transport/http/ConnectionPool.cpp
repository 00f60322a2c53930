#include "transport/http/ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::transport::http {

ConnectionPool::ConnectionPool(boost::asio::io_context& aIo,
                               const HttpBackendClientSettings& aSettings,
                               boost::asio::ip::tcp::endpoint aEndpoint)
  : mIo(aIo)
  , mSettings(aSettings)
  , mEndpoint(std::move(aEndpoint))
{
}

std::unique_ptr<PooledConnection>
ConnectionPool::TakeIdle()
{
  while (!mIdle.empty()) {
    auto connection = std::move(mIdle.back());
    mIdle.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
    --mOpen;
  }
  return nullptr;
}

void
ConnectionPool::Acquire(const void* aKey, Grant aGrant)
{
  std::unique_ptr<PooledConnection> connection;
  {
    const std::lock_guard lock(mMutex);
    connection = TakeIdle();
    if (!connection && mOpen >= mSettings.mMaxConnections) {
      mWaiters.push_back({ aKey, std::move(aGrant) });
      return;
    }
    if (!connection) {
      ++mOpen;
      connection = std::make_unique<PooledConnection>(mIo);
    }
  }
  aGrant(std::move(connection));
}

void
ConnectionPool::CancelAcquire(const void* aKey)
{
  const std::lock_guard lock(mMutex);
  const auto found = std::find_if(
    mWaiters.begin(), mWaiters.end(), [aKey](const Waiter& aWaiter) {
      return aWaiter.mKey == aKey;
    });
  if (found != mWaiters.end()) {
    mWaiters.erase(found);
  }
}

void
ConnectionPool::Release(std::unique_ptr<PooledConnection> aConnection,
                        bool aReusable)
{
  Grant grant;
  {
    const std::lock_guard lock(mMutex);
    if (!aReusable || !aConnection->IsReusable()) {
      aConnection = std::make_unique<PooledConnection>(mIo);
    }
    if (!mWaiters.empty()) {
      grant = std::move(mWaiters.front().mGrant);
      mWaiters.pop_front();
    } else if (aConnection->mSocket.is_open() && !mClosed) {
      mIdle.push_back(std::move(aConnection));
    } else {
      --mOpen;
    }
  }
  if (grant) {
    grant(std::move(aConnection));
  }
}

void
ConnectionPool::Close()
{
  std::vector<std::unique_ptr<PooledConnection>> idle;
  const std::lock_guard lock(mMutex);
  mClosed = true;
  mOpen -= mIdle.size();
  idle.swap(mIdle);
}

std::size_t
ConnectionPool::Connections() const
{
  const std::lock_guard lock(mMutex);
  return mOpen;
}

std::size_t
ConnectionPool::Idle() const
{
  const std::lock_guard lock(mMutex);
  return mIdle.size();
}

} // namespace nutmegrock::transport::http
