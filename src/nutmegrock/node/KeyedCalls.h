#pragma once

#include "node/OnceGuard.h"
#include "node/OutgoingCall.h"
#include "once/KeyOwner.h"

#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::node {

/// Sends a call to another node.
using PeerSender = std::function<void(const core::Address&,
                                      transport::PeerCall,
                                      transport::PeerResultHandler)>;

/// Outgoing calls that must run at most once. A call whose key this node issued
/// is dispatched here; one with the key of another node is forwarded to that
/// node, its owner. When the owner cannot be reached the outcome is unknown.
class KeyedCalls
{
public:
  KeyedCalls(std::shared_ptr<const OutgoingServices> aServices,
             OnceServices aOnce,
             PeerSender aForward);

  /// Text of a new key of this node.
  std::string IssueKey();
  /// A call whose context carries the key text of its caller.
  void Run(const std::string& aService,
           core::CallContext aContext,
           transport::Call aCall,
           OutgoingHandler aHandler);
  /// A call that gets a new key here, such as one nested in a call with a key.
  void RunWithNewKey(const std::string& aService,
                     core::CallContext aContext,
                     transport::Call aCall,
                     OutgoingHandler aHandler);
  /// Whether a call from another node was forwarded to this node as the owner
  /// of its key, rather than dispatched to it as an executor.
  static bool IsForwarded(const core::CallContext& aContext);
  /// A call that another node forwarded.
  void HandleForwarded(transport::PeerCall aCall,
                       transport::PeerResultHandler aHandler);

private:
  /// A call between its arrival and its first dispatch.
  struct Arrival
  {
    std::string mService;
    once::IdempotencyKey mKey;
    core::CallContext mContext;
    transport::Call mCall;
    OutgoingHandler mHandler;
  };
  using ArrivalPtr = std::shared_ptr<Arrival>;

  void RunOwn(ArrivalPtr aArrival);
  void Begin(const ArrivalPtr& aArrival, std::uint64_t aDigest);
  void Dispatch(const ArrivalPtr& aArrival, std::shared_ptr<OnceGuard> aGuard);
  void SettleFirst(const ArrivalPtr& aArrival, const once::BeginResult& aBegin);
  void Forward(const ArrivalPtr& aArrival);

  const std::shared_ptr<const OutgoingServices> mServices;
  const OnceServices mOnce;
  const PeerSender mForward;
};

} // namespace nutmegrock::node
