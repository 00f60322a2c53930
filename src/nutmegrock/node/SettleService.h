#pragma once

#include "core/Incarnation.h"
#include "node/Environment.h"
#include "once/ExecutionLedger.h"
#include "transport/peer/PeerClient.h"

#include <functional>
#include <string>

namespace nutmegrock::node {

using SettleHandler = std::function<void(core::Expected<once::SettleResponse>)>;

/// Queries executors about the state of dispatches, and handles such queries
/// for this node. The ledger and the peer client must outlive the object.
class SettleService
{
public:
  SettleService(core::Incarnation aSelf,
                std::string aSecret,
                Environment aEnvironment,
                once::ExecutionLedger& aLedger,
                transport::peer::PeerClient& aPeers);

  /// Queries the executor, which may be this node.
  void Query(const core::Address& aAddress,
             core::Incarnation aExecutor,
             const std::string& aDispatch,
             core::TimePoint aDeadline,
             const SettleHandler& aHandler);
  /// Returns the state of a dispatch at this node. Fails with KeyInvalid.
  core::Expected<once::SettleResponse> HandleQuery(
    const std::string& aDispatch);

private:
  const core::Incarnation mSelf;
  const std::string mSecret;
  const Environment mEnvironment;
  once::ExecutionLedger& mLedger;
  transport::peer::PeerClient& mPeers;
};

} // namespace nutmegrock::node
