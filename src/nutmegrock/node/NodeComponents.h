#pragma once

#include "admin/AdminServer.h"
#include "limits/LevelCache.h"
#include "membership/udp/MembershipService.h"
#include "metrics/Registry.h"
#include "node/ActiveCalls.h"
#include "node/BackendNotices.h"
#include "node/CallingSide.h"
#include "node/CandidateUpdater.h"
#include "node/IoThreads.h"
#include "node/KeyedCalls.h"
#include "node/NodeRuntime.h"
#include "node/ServingSide.h"
#include "node/SettleService.h"
#include "once/ExecutionLedger.h"
#include "once/KeyOwner.h"
#include "profiles/ActiveProfiles.h"
#include "profiles/ProfileSync.h"
#include "retry/ResendTracker.h"
#include "retry/RetryPolicy.h"
#include "retry/RetryRatio.h"
#include "routing/Router.h"
#include "store/http/HttpObjectStore.h"
#include "store/http/HttpTableService.h"
#include "transport/http/CallListener.h"
#include "transport/http/HttpBackendClient.h"
#include "transport/peer/PeerClient.h"
#include "transport/peer/PeerServer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::node {

/// Components of a running node, in the order of their creation; they are
/// destroyed in reverse order.
class NodeRuntime::Components
{
public:
  explicit Components(settings::NodeSettings aSettings);
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;
  ~Components();

  core::Expected<bool> Open();
  std::size_t Drain();
  core::Incarnation Self() const { return mSelf; }

private:
  core::Expected<bool> OpenPolicies();
  core::Expected<bool> OpenPlatform();
  core::Expected<bool> OpenServing();
  core::Expected<bool> OpenPeers();
  std::shared_ptr<const OutgoingDependencies> MakeOutgoing();
  core::Expected<bool> OpenCalling();
  core::Expected<bool> OpenListeners();
  core::Expected<bool> OpenMembership();
  core::Expected<bool> OpenAdmin();
  void SendAttempt(const routing::Choice& aChoice,
                   transport::PeerCall aCall,
                   transport::PeerResultHandler aHandler);
  void HandlePeerCall(transport::PeerCall aCall,
                      transport::PeerResultHandler aHandler);
  void HandleControl(
    const std::string& aMethod,
    const std::string& aArgument,
    const std::function<void(core::Expected<std::string>)>& aResponse);
  void PullProfiles(const core::Address& aFrom,
                    profiles::ProfileSync::PullCallback aCallback);
  core::Expected<bool> OnNotice(const std::string& aName,
                                const std::string& aBody);
  void PublishState(ServerState aState);
  std::size_t InFlight() const;
  admin::AdminResponse StatusResponse() const;

  const settings::NodeSettings mSettings;
  const core::Incarnation mSelf;
  std::string mSecret;
  metrics::Registry mRegistry;
  ActiveCalls mCalls;
  profiles::ActiveProfiles mProfiles;
  IoThreads mIo;
  Environment mEnvironment;
  std::unique_ptr<routing::Router> mRouter;
  std::unique_ptr<retry::RetryRatio> mRatio;
  std::unique_ptr<retry::RetryPolicy> mPolicy;
  std::unique_ptr<limits::LevelCache> mLevels;
  std::unique_ptr<retry::ResendTracker> mResends;
  std::unique_ptr<once::KeyOwner> mKeyOwner;
  std::unique_ptr<once::ExecutionLedger> mLedger;
  std::unique_ptr<CandidateUpdater> mCandidateUpdater;
  std::shared_ptr<store::http::HttpTableService> mTable;
  std::unique_ptr<store::http::HttpObjectStore> mObjects;
  std::unique_ptr<transport::http::HttpBackendClient> mBackend;
  std::shared_ptr<ServingSide> mServing;
  std::unique_ptr<transport::peer::PeerClient> mPeerClient;
  std::unique_ptr<SettleService> mSettle;
  std::unique_ptr<KeyedCalls> mKeyed;
  std::unique_ptr<CallingSide> mCalling;
  std::unique_ptr<transport::peer::PeerServer> mPeerServer;
  std::unique_ptr<profiles::ProfileSync> mSync;
  std::unique_ptr<membership::udp::MembershipService> mMembership;
  std::unique_ptr<transport::http::CallListener> mCallerListener;
  std::unique_ptr<transport::http::CallListener> mBackendListener;
  std::unique_ptr<admin::AdminServer> mAdmin;
  std::atomic<std::uint64_t> mPeerCalls{ 0 };
};

} // namespace nutmegrock::node
