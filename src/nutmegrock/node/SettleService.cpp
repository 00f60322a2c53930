#include "node/SettleService.h"

#include "once/SettleCodec.h"

#include <utility>

namespace nutmegrock::node {

SettleService::SettleService(core::Incarnation aSelf,
                             std::string aSecret,
                             Environment aEnvironment,
                             once::ExecutionLedger& aLedger,
                             transport::peer::PeerClient& aPeers)
  : mSelf(aSelf)
  , mSecret(std::move(aSecret))
  , mEnvironment(std::move(aEnvironment))
  , mLedger(aLedger)
  , mPeers(aPeers)
{
}

core::Expected<once::SettleResponse>
SettleService::HandleQuery(const std::string& aDispatch)
{
  return once::Dispatch::Parse(aDispatch, mSecret)
    .map([this](const once::Dispatch& aParsed) {
      return mLedger.Settle(mEnvironment.mNow(), aParsed);
    });
}

void
SettleService::Query(const core::Address& aAddress,
                     core::Incarnation aExecutor,
                     const std::string& aDispatch,
                     core::TimePoint aDeadline,
                     const SettleHandler& aHandler)
{
  if (aExecutor == mSelf) {
    aHandler(HandleQuery(aDispatch));
    return;
  }
  mPeers.Control(aAddress,
                 aExecutor,
                 std::string(once::kSettleMethod),
                 aDispatch,
                 aDeadline,
                 [aHandler](const core::Expected<std::string>& aBytes) {
                   aHandler(aBytes.and_then(once::DecodeSettle));
                 });
}

} // namespace nutmegrock::node
