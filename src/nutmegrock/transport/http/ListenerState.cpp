#include "transport/http/ListenerState.h"

#include "transport/http/ServerConnection.h"

#include <utility>

namespace nutmegrock::transport::http {

namespace {

// Maximum number of refused connections kept open to receive their 503. Further
// ones are closed without a response, so that refusals are bounded as well.
constexpr std::size_t kMaxRefusedOpen = 64;

} // namespace

ListenerState::ListenerState(boost::asio::io_context& aIo,
                             const CallListenerSettings& aSettings,
                             CallHandler aHandler)
  : mSettings(aSettings)
  , mHandler(std::move(aHandler))
  , mAcceptor(std::make_shared<tcp::Acceptor>(aIo))
{
}

core::Expected<void>
ListenerState::Open()
{
  return mAcceptor->Listen(mSettings.mAddress).map([this] {
    mAcceptor->Start(
      [weak = weak_from_this()](boost::asio::ip::tcp::socket aSocket) {
        if (const auto self = weak.lock()) {
          self->OnAccepted(std::move(aSocket));
        }
      });
  });
}

void
ListenerState::OnAccepted(boost::asio::ip::tcp::socket aSocket)
{
  std::shared_ptr<ServerConnection> connection;
  bool refused = false;
  {
    const std::lock_guard lock(mMutex);
    refused = mConnections.size() >= mSettings.mMaxConnections;
    if (!refused ||
        mConnections.size() < mSettings.mMaxConnections + kMaxRefusedOpen) {
      connection = std::make_shared<ServerConnection>(std::move(aSocket),
                                                      shared_from_this());
      mConnections.emplace(connection.get(), connection);
    }
  }
  if (refused) {
    ++mRefused;
  }
  if (connection) {
    connection->Start(refused);
  }
}

void
ListenerState::Handle(Call aCall, ResponseHandler aResponse) const
{
  mHandler(std::move(aCall), std::move(aResponse));
}

std::shared_ptr<void>
ListenerState::StartCall()
{
  ++mInFlight;
  return { nullptr, [self = shared_from_this()](void*) { --self->mInFlight; } };
}

std::size_t
ListenerState::Connections() const
{
  const std::lock_guard lock(mMutex);
  return mConnections.size();
}

std::vector<std::shared_ptr<ServerConnection>>
ListenerState::OpenConnections() const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, weak] : mConnections) {
    if (auto connection = weak.lock()) {
      all.push_back(std::move(connection));
    }
  }
  return all;
}

void
ListenerState::Remove(const ServerConnection* aConnection)
{
  const std::lock_guard lock(mMutex);
  mConnections.erase(aConnection);
}

void
ListenerState::Stop()
{
  if (mStopping.exchange(true)) {
    return;
  }
  mAcceptor->Close([self = shared_from_this()] {
    for (const auto& connection : self->OpenConnections()) {
      connection->Stop();
    }
  });
}

void
ListenerState::Close()
{
  mStopping = true;
  mAcceptor->Close([self = shared_from_this()] {
    for (const auto& connection : self->OpenConnections()) {
      connection->Close();
    }
  });
}

} // namespace nutmegrock::transport::http
