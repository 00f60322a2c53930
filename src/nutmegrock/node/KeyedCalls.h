#pragma once

#include "node/AtMostOnceGuard.h"
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
/// node, its owner. If the owner is unreachable, the outcome is unknown.
class KeyedCalls
{
public:
  KeyedCalls(std::shared_ptr<const OutgoingDependencies> aDependencies,
             AtMostOnceDependencies aAtMostOnce,
             PeerSender aForward);

  /// Returns the text of a new key of this node.
  std::string IssueKey();
  /// Sends a call whose context carries the key text of its caller.
  void Run(const std::string& aService,
           core::CallContext aContext,
           transport::Call aCall,
           OutgoingHandler aHandler);
  /// Sends a call with a new key, such as one nested in a call with a key.
  void RunWithNewKey(const std::string& aService,
                     core::CallContext aContext,
                     transport::Call aCall,
                     OutgoingHandler aHandler);
  /// Returns true if a call from another node was forwarded to this node as the
  /// owner of its key, false if it was dispatched to it as an executor.
  static bool IsForwarded(const core::CallContext& aContext);
  /// Handles a call that another node forwarded.
  void HandleForwarded(transport::PeerCall aCall,
                       transport::PeerResultHandler aHandler);

private:
  /// A call between its arrival and its first dispatch.
  struct PendingCall
  {
    std::string mService;
    once::IdempotencyKey mKey;
    core::CallContext mContext;
    transport::Call mCall;
    OutgoingHandler mHandler;
  };
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  void RunLocally(PendingCallPtr aPending);
  void Begin(const PendingCallPtr& aPending, std::uint64_t aDigest);
  void Dispatch(const PendingCallPtr& aPending,
                std::shared_ptr<AtMostOnceGuard> aGuard);
  void SettleFirst(const PendingCallPtr& aPending,
                   const once::BeginResult& aBegin);
  void Forward(const PendingCallPtr& aPending);

  const std::shared_ptr<const OutgoingDependencies> mDependencies;
  const AtMostOnceDependencies mAtMostOnce;
  const PeerSender mForward;
};

} // namespace nutmegrock::node
