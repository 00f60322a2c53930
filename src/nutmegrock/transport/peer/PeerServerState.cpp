#include "transport/peer/PeerServerState.h"

#include "transport/peer/PeerSession.h"

#include <utility>

namespace nutmegrock::transport::peer {

PeerServerState::PeerServerState(boost::asio::io_context& aIo,
                                 PeerServerSettings aSettings,
                                 PeerCallHandler aCallHandler,
                                 ControlHandler aControlHandler)
  : mSettings(std::move(aSettings))
  , mCallHandler(std::move(aCallHandler))
  , mControlHandler(std::move(aControlHandler))
  , mCounts(std::make_shared<PeerCounts>())
  , mAcceptor(std::make_shared<tcp::Acceptor>(aIo))
{
}

core::Expected<void>
PeerServerState::Open()
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
PeerServerState::OnAccepted(boost::asio::ip::tcp::socket aSocket)
{
  std::shared_ptr<PeerSession> session;
  {
    const std::lock_guard lock(mMutex);
    if (mSessions.size() >= mSettings.mMaxConnections) {
      mCounts->Add(PeerEvent::TooManyConnections);
      return;
    }
    session =
      std::make_shared<PeerSession>(std::move(aSocket), shared_from_this());
    mSessions.emplace(session.get(), session);
  }
  session->Start();
}

std::shared_ptr<void>
PeerServerState::StartCall()
{
  ++mInFlight;
  return { nullptr, [self = shared_from_this()](void*) { --self->mInFlight; } };
}

std::size_t
PeerServerState::Connections() const
{
  const std::lock_guard lock(mMutex);
  return mSessions.size();
}

void
PeerServerState::Remove(const PeerSession* aSession)
{
  const std::lock_guard lock(mMutex);
  mSessions.erase(aSession);
}

void
PeerServerState::Stop()
{
  mAcceptor->Close([] {});
}

void
PeerServerState::Close()
{
  mAcceptor->Close([self = shared_from_this()] {
    std::vector<std::shared_ptr<PeerSession>> sessions;
    {
      const std::lock_guard lock(self->mMutex);
      for (const auto& [key, weak] : self->mSessions) {
        sessions.push_back(weak.lock());
      }
    }
    for (const auto& session : sessions) {
      if (session) {
        session->Close();
      }
    }
  });
}

} // namespace nutmegrock::transport::peer
