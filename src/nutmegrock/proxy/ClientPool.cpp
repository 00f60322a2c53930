#include "proxy/ClientPool.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::proxy {

namespace {

namespace net = boost::asio;

/// A round trip within a region takes a few milliseconds, and a lost SYN is
/// retransmitted only after a second.
constexpr std::chrono::milliseconds kConnectTimeout{ 600 };

/// Forwards operations on a request to its connection as long as the connection
/// still serves that request.
class PooledRequest final : public OutgoingRequest
{
public:
  explicit PooledRequest(std::shared_ptr<ClientConnection> aConnection)
    : mConnection(std::move(aConnection))
    , mRequestNumber(mConnection->RequestNumber())
  {
  }

  void SendBody(std::string_view aBytes) override
  {
    if (IsCurrent()) {
      mConnection->SendBody(aBytes);
    }
  }
  void EndBody() override
  {
    if (IsCurrent()) {
      mConnection->EndBody();
    }
  }
  std::size_t Unsent() const override
  {
    return IsCurrent() ? mConnection->Unsent() : 0;
  }
  void PauseResponse(bool aPaused) override
  {
    if (IsCurrent()) {
      mConnection->PauseResponse(aPaused);
    }
  }
  void Cancel() override
  {
    if (IsCurrent()) {
      mConnection->Abandon();
    }
  }

private:
  bool IsCurrent() const
  {
    return mConnection->IsBusy() &&
           mConnection->RequestNumber() == mRequestNumber;
  }

  const std::shared_ptr<ClientConnection> mConnection;
  const std::uint64_t mRequestNumber;
};

} // namespace

ClientPool::ClientPool(net::io_context& aIo,
                       HeaderNames aNames,
                       std::function<core::TimePoint()> aNow)
  : mIo(aIo)
  , mNames(std::move(aNames))
  , mNow(std::move(aNow))
{
}

ClientPool::~ClientPool()
{
  while (!mConnections.empty()) {
    const ConnectionPtr connection = mConnections.begin()->second;
    connection->Abandon();
  }
}

ClientPool::ConnectionPtr
ClientPool::TakeLastIdle(const std::string& aKey)
{
  const auto found = mIdle.find(aKey);
  if (found == mIdle.end()) {
    return nullptr;
  }
  ConnectionPtr connection = std::move(found->second.back());
  found->second.pop_back();
  if (found->second.empty()) {
    mIdle.erase(found);
  }
  return connection;
}

ClientPool::ConnectionPtr
ClientPool::TakeIdle(const std::string& aKey)
{
  const core::TimePoint now = mNow();
  while (ConnectionPtr connection = TakeLastIdle(aKey)) {
    if (!connection->IsClosed() && !connection->IsStale(now)) {
      return connection;
    }
    connection->Abandon();
  }
  return nullptr;
}

OutgoingRequestPtr
ClientPool::Send(const core::Address& aAddress,
                 ClientRequest aRequest,
                 std::weak_ptr<ResponseSink> aSink)
{
  const std::string key = aAddress.ToString();
  ConnectionPtr connection = TakeIdle(key);
  if (connection) {
    ++mCounts.mReused;
  } else {
    ++mCounts.mOpened;
    connection = std::make_shared<ClientConnection>(*this, key);
    mConnections.emplace(connection.get(), connection);
    boost::system::error_code code;
    const auto ip = net::ip::make_address(aAddress.mIp, code);
    connection->Connect({ ip, aAddress.mPort });
  }
  connection->Start(std::move(aRequest), std::move(aSink));
  return std::make_shared<PooledRequest>(connection);
}

void
ClientPool::Return(const ConnectionPtr& aConnection)
{
  mIdle[aConnection->Key()].push_back(aConnection);
}

void
ClientPool::Remove(ClientConnection* aConnection)
{
  const auto idle = mIdle.find(aConnection->Key());
  if (idle != mIdle.end()) {
    std::erase_if(idle->second, [aConnection](const ConnectionPtr& aIdle) {
      return aIdle.get() == aConnection;
    });
    if (idle->second.empty()) {
      mIdle.erase(idle);
    }
  }
  mConnections.erase(aConnection);
}

void
ClientPool::Tick()
{
  const core::TimePoint now = mNow();
  std::vector<ConnectionPtr> late;
  std::vector<ConnectionPtr> stale;
  for (const auto& entry : mConnections) {
    if (entry.second->IsConnecting() &&
        now - entry.second->Since() > kConnectTimeout) {
      late.push_back(entry.second);
    }
  }
  for (const auto& entry : mIdle) {
    for (const ConnectionPtr& connection : entry.second) {
      if (connection->IsStale(now)) {
        stale.push_back(connection);
      }
    }
  }
  for (const ConnectionPtr& connection : stale) {
    connection->Abandon();
  }
  for (const ConnectionPtr& connection : late) {
    ++mCounts.mConnectFailed;
    connection->FailConnecting();
  }
}

} // namespace nutmegrock::proxy
