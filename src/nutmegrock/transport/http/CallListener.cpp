#include "transport/http/CallListener.h"

#include "transport/http/ListenerState.h"

#include <utility>

namespace nutmegrock::transport::http {

CallListener::CallListener(std::shared_ptr<ListenerState> aState)
  : mState(std::move(aState))
{
}

core::Expected<std::unique_ptr<CallListener>>
CallListener::Create(boost::asio::io_context& aIo,
                     const CallListenerSettings& aSettings,
                     CallHandler aHandler)
{
  auto state =
    std::make_shared<ListenerState>(aIo, aSettings, std::move(aHandler));
  if (auto opened = state->Open(); !opened) {
    return tl::make_unexpected(std::move(opened.error()));
  }
  return std::unique_ptr<CallListener>(new CallListener(std::move(state)));
}

CallListener::~CallListener()
{
  mState->Close();
}

const core::Address&
CallListener::LocalAddress() const
{
  return mState->LocalAddress();
}

std::size_t
CallListener::InFlight() const
{
  return mState->InFlight();
}

std::size_t
CallListener::Connections() const
{
  return mState->Connections();
}

std::uint64_t
CallListener::Refused() const
{
  return mState->Refused();
}

void
CallListener::StopAccepting()
{
  mState->Stop();
}

} // namespace nutmegrock::transport::http
