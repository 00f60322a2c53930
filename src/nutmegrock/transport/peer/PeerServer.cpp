#include "transport/peer/PeerServer.h"

#include "transport/peer/PeerServerState.h"

#include <utility>

namespace nutmegrock::transport::peer {

PeerServer::PeerServer(std::shared_ptr<PeerServerState> aState)
  : mState(std::move(aState))
{
}

core::Expected<std::unique_ptr<PeerServer>>
PeerServer::Create(boost::asio::io_context& aIo,
                   PeerServerSettings aSettings,
                   PeerCallHandler aCallHandler,
                   ControlHandler aControlHandler)
{
  auto state = std::make_shared<PeerServerState>(aIo,
                                                 std::move(aSettings),
                                                 std::move(aCallHandler),
                                                 std::move(aControlHandler));
  if (auto opened = state->Open(); !opened) {
    return tl::make_unexpected(std::move(opened.error()));
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(state)));
}

PeerServer::~PeerServer()
{
  mState->Close();
}

const core::Address&
PeerServer::LocalAddress() const
{
  return mState->LocalAddress();
}

std::size_t
PeerServer::InFlight() const
{
  return mState->InFlight();
}

std::size_t
PeerServer::Connections() const
{
  return mState->Connections();
}

void
PeerServer::StopAccepting()
{
  mState->Stop();
}

const PeerCounts&
PeerServer::Counts() const
{
  return *mState->Counts();
}

} // namespace nutmegrock::transport::peer
