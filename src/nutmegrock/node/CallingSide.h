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

/// Returns the active profile set, or null if there is none yet.
using CurrentProfiles =
  std::function<std::shared_ptr<const profiles::ProfileSet>()>;

/// Handles a notice of the local backend server: its name and JSON body.
using NoticeHandler =
  std::function<core::Expected<bool>(const std::string&, const std::string&)>;

/// Client side of a node: turns calls of external callers and of the local
/// backend server into outgoing calls. Safe from any thread. The referenced
/// objects must outlive this object and its calls.
class CallingSide
{
public:
  CallingSide(std::shared_ptr<const OutgoingDependencies> aDependencies,
              CurrentProfiles aProfiles,
              ActiveCalls& aCalls,
              KeyedCalls& aKeyed,
              retry::ResendTracker& aResends,
              NoticeHandler aNotice);

  /// Handles a call of an external caller.
  void HandleCaller(transport::Call aCall, transport::ResponseHandler aHandler);
  /// Handles a call or notice of the local backend server.
  void HandleBackend(transport::Call aCall,
                     transport::ResponseHandler aHandler);

private:
  using Profiles = std::shared_ptr<const profiles::ProfileSet>;

  /// Inputs that both kinds of calls need before any decision.
  struct Prepared
  {
    CallerHeaders mHeaders;
    Profiles mProfiles;
  };

  /// Returns nothing, after responding with an error, if the call cannot
  /// proceed.
  std::optional<Prepared> Prepare(const std::string& aService,
                                  const transport::Call& aCall,
                                  const transport::ResponseHandler& aHandler);
  void HandleEntryCall(const CallTarget& aTarget,
                       const Prepared& aPrepared,
                       transport::Call aCall,
                       transport::ResponseHandler aHandler);
  void SendKey(const transport::ResponseHandler& aHandler);
  /// Responds 428 with a new key.
  void SendKeyRequired(const core::CallContext& aContext,
                       const transport::ResponseHandler& aHandler);
  /// Sends the call with its key, with a new key, or without a key, depending
  /// on its context.
  void Send(const std::string& aService,
            core::CallContext aContext,
            transport::Call aCall,
            OutgoingHandler aHandler);
  void HandleNestedCall(const CallTarget& aTarget,
                        const Prepared& aPrepared,
                        transport::Call aCall,
                        transport::ResponseHandler aHandler);
  void HandleOrphanCall(const CallTarget& aTarget,
                        const Profiles& aProfiles,
                        transport::Call aCall,
                        transport::ResponseHandler aHandler);
  void Notify(const CallTarget& aTarget,
              const transport::Call& aCall,
              transport::ResponseHandler aHandler);
  /// Wraps the handler to add response headers and record metrics.
  transport::ResponseHandler WrapHandler(const std::string& aService,
                                         const core::CallContext& aContext,
                                         transport::ResponseHandler aHandler);
  void RefuseEarly(const std::string& aService,
                   const core::Error& aError,
                   const transport::ResponseHandler& aHandler);
  core::RequestId NewRequest() const;

  const std::shared_ptr<const OutgoingDependencies> mDependencies;
  const CurrentProfiles mProfiles;
  ActiveCalls& mCalls;
  KeyedCalls& mKeyed;
  retry::ResendTracker& mResends;
  const NoticeHandler mNotice;
};

} // namespace nutmegrock::node
