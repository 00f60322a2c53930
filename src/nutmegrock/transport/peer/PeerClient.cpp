#include "transport/peer/PeerClient.h"

#include "transport/peer/PeerLink.h"
#include "transport/tcp/Acceptor.h"

#include <map>
#include <mutex>
#include <utility>

namespace nutmegrock::transport::peer {

/// Holds one PeerLink per address.
class PeerClientState
{
public:
  PeerClientState(boost::asio::io_context& aIo, PeerClientSettings aSettings)
    : mIo(aIo)
    , mSettings(std::move(aSettings))
    , mCounts(std::make_shared<PeerCounts>())
  {
  }

  core::Expected<std::shared_ptr<PeerLink>> LinkOf(
    const core::Address& aAddress);
  void Close();
  const PeerCounts& Counts() const { return *mCounts; }

private:
  boost::asio::io_context& mIo;
  const PeerClientSettings mSettings;
  const std::shared_ptr<PeerCounts> mCounts;
  std::mutex mMutex;
  std::map<core::Address, std::shared_ptr<PeerLink>> mLinks;
  bool mClosed = false;
};

core::Expected<std::shared_ptr<PeerLink>>
PeerClientState::LinkOf(const core::Address& aAddress)
{
  const std::lock_guard lock(mMutex);
  if (mClosed) {
    return core::Fail(core::ErrorKind::PeerUnreachable,
                      "this node is shutting down");
  }
  auto& link = mLinks[aAddress];
  if (!link) {
    const auto endpoint = tcp::EndpointOf(aAddress);
    if (!endpoint) {
      mLinks.erase(aAddress);
      return core::Fail(core::ErrorKind::PeerUnreachable,
                        endpoint.error().mMessage);
    }
    link = std::make_shared<PeerLink>(mIo, mSettings, *endpoint, mCounts);
  }
  return link;
}

void
PeerClientState::Close()
{
  std::map<core::Address, std::shared_ptr<PeerLink>> links;
  {
    const std::lock_guard lock(mMutex);
    mClosed = true;
    links.swap(mLinks);
  }
  for (const auto& [address, link] : links) {
    link->Close();
  }
}

PeerClient::PeerClient(std::shared_ptr<PeerClientState> aState)
  : mState(std::move(aState))
{
}

std::unique_ptr<PeerClient>
PeerClient::Create(boost::asio::io_context& aIo, PeerClientSettings aSettings)
{
  return std::unique_ptr<PeerClient>(new PeerClient(
    std::make_shared<PeerClientState>(aIo, std::move(aSettings))));
}

PeerClient::~PeerClient()
{
  Close();
}

void
PeerClient::Send(const core::Address& aAddress,
                 PeerCall aCall,
                 PeerResultHandler aHandler)
{
  auto link = mState->LinkOf(aAddress);
  if (!link) {
    core::CallFeedback feedback;
    feedback.mBudgetReturned = aCall.mContext.mRetryBudget;
    aHandler({ tl::make_unexpected(std::move(link.error())), feedback });
    return;
  }
  (*link)->Send(std::move(aCall), std::move(aHandler));
}

void
PeerClient::Control(const core::Address& aAddress,
                    core::Incarnation aTarget,
                    std::string aMethod,
                    std::string aArgument,
                    core::TimePoint aDeadline,
                    ControlResponseHandler aHandler)
{
  auto link = mState->LinkOf(aAddress);
  if (!link) {
    aHandler(tl::make_unexpected(std::move(link.error())));
    return;
  }
  (*link)->Control(aTarget,
                   std::move(aMethod),
                   std::move(aArgument),
                   aDeadline,
                   std::move(aHandler));
}

void
PeerClient::Close()
{
  mState->Close();
}

const PeerCounts&
PeerClient::Counts() const
{
  return mState->Counts();
}

} // namespace nutmegrock::transport::peer
