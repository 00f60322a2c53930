#pragma once

#include "metrics/Registry.h"
#include "node/ActiveCalls.h"
#include "node/CallTarget.h"
#include "node/CallerHeaders.h"
#include "node/KeyedCalls.h"
#include "node/OutgoingCall.h"
#include "profiles/ProfileSet.h"
#include "retry/ResendTracker.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace nutmegrock::node {

/// The set of profiles in force, or null when there is none yet.
using ProfilesInForce =
  std::function<std::shared_ptr<const profiles::ProfileSet>()>;

/// What a backend server tells its node: name of the notice and JSON body.
using NoticeHandler =
  std::function<core::Expected<bool>(const std::string&, const std::string&)>;

/// The calling half of a node: turns calls of external callers and of the
/// backend server beside it into outgoing calls. Safe from any thread. The
/// referenced parts must outlive the object and its calls.
class CallingSide
{
public:
  CallingSide(std::shared_ptr<const OutgoingServices> aServices,
              ProfilesInForce aProfiles,
              ActiveCalls& aCalls,
              KeyedCalls& aKeyed,
              retry::ResendTracker& aResends,
              NoticeHandler aNotice);

  /// A call of an external caller.
  void HandleCaller(transport::Call aCall, transport::ResponseHandler aHandler);
  /// A call or notice of the backend server beside this node.
  void HandleBackend(transport::Call aCall,
                     transport::ResponseHandler aHandler);

private:
  using Profiles = std::shared_ptr<const profiles::ProfileSet>;

  /// What both kinds of calls need before anything is decided.
  struct Prepared
  {
    CallerHeaders mHeaders;
    Profiles mProfiles;
  };

  /// Answers the caller and returns nothing when the call cannot go on.
  std::optional<Prepared> Prepare(const std::string& aService,
                                  const transport::Call& aCall,
                                  const transport::ResponseHandler& aHandler);
  void Enter(const CallTarget& aTarget,
             const Prepared& aPrepared,
             transport::Call aCall,
             transport::ResponseHandler aHandler);
  void GiveKey(const transport::ResponseHandler& aHandler);
  /// Answers 428 with a fresh key.
  void AskForKey(const core::CallContext& aContext,
                 const transport::ResponseHandler& aHandler);
  /// Sends the call as its context asks: with its key, with a new key, or
  /// without one.
  void Send(const std::string& aService,
            core::CallContext aContext,
            transport::Call aCall,
            OutgoingHandler aHandler);
  void Nest(const CallTarget& aTarget,
            const Prepared& aPrepared,
            transport::Call aCall,
            transport::ResponseHandler aHandler);
  void NestUntied(const CallTarget& aTarget,
                  const Profiles& aProfiles,
                  transport::Call aCall,
                  transport::ResponseHandler aHandler);
  void Notify(const CallTarget& aTarget,
              const transport::Call& aCall,
              transport::ResponseHandler aHandler);
  /// Wraps the handler: headers of the answer, counters and latency.
  transport::ResponseHandler Finishing(const std::string& aService,
                                       const core::CallContext& aContext,
                                       transport::ResponseHandler aHandler);
  void RefuseEarly(const std::string& aService,
                   const core::Error& aError,
                   const transport::ResponseHandler& aHandler);
  core::RequestId NewRequest() const;

  const std::shared_ptr<const OutgoingServices> mServices;
  const ProfilesInForce mProfiles;
  ActiveCalls& mCalls;
  KeyedCalls& mKeyed;
  retry::ResendTracker& mResends;
  const NoticeHandler mNotice;
};

} // namespace nutmegrock::node
