#include "node/NodeComponents.h"

#include "admin/ProfileRoutes.h"
#include "node/ControlBytes.h"
#include "node/DrainWait.h"
#include "node/StatusReport.h"
#include "once/SettleCodec.h"
#include "routing/RouterSettings.h"
#include "settings/SettingsFile.h"

#include <boost/algorithm/string/trim.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmegrock::node {

namespace {

constexpr std::chrono::seconds kControlTimeout(2);

std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

NodeRuntime::Components::Components(settings::NodeSettings aSettings)
  : mSettings(std::move(aSettings))
  , mSelf(NewIncarnation())
  , mIo(mSettings.mThreads)
  , mEnvironment(mIo.MakeEnvironment())
{
}

NodeRuntime::Components::~Components()
{
  // Handlers in progress use the components, so the threads stop first.
  mAdmin.reset();
  mMembership.reset();
  mSync.reset();
  mIo.Stop();
}

core::Expected<bool>
NodeRuntime::Components::Open()
{
  store::http::InitializeThreadPool();
  if (!mSettings.mSecretFile.empty()) {
    auto secret = settings::ReadTextFile(mSettings.mSecretFile);
    if (!secret) {
      return tl::make_unexpected(secret.error());
    }
    mSecret = boost::algorithm::trim_copy(*secret);
  }
  using Step = core::Expected<bool> (Components::*)();
  for (const Step step : { &Components::OpenPolicies,
                           &Components::OpenPlatform,
                           &Components::OpenServing,
                           &Components::OpenCalling,
                           &Components::OpenMembership,
                           &Components::OpenPeers,
                           &Components::OpenListeners,
                           &Components::OpenAdmin }) {
    auto opened = (this->*step)();
    if (!opened) {
      return opened;
    }
  }
  spdlog::info("node started service={} zone={} incarnation={} peer={}",
               mSettings.mService,
               mSettings.mAvailabilityZone,
               mSelf.ToString(),
               mSettings.mListen.mPeer.ToString());
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OpenPolicies()
{
  auto router = routing::Router::Create({});
  auto ratio = retry::RetryRatio::Create({});
  auto policy = retry::RetryPolicy::Create({});
  auto levels = limits::LevelCache::Create({});
  auto resends = retry::ResendTracker::Create({});
  if (!router || !ratio || !policy || !levels || !resends) {
    return core::Fail(
      core::ErrorKind::Internal,
      "the default settings of a routing or retry component are invalid");
  }
  mRouter = std::move(*router);
  mRatio = std::move(*ratio);
  mPolicy = std::make_unique<retry::RetryPolicy>(*policy);
  mLevels = std::move(*levels);
  mResends = std::move(*resends);
  mCandidateUpdater = std::make_unique<CandidateUpdater>(*mRouter);
  once::KeyOwnerSettings owner;
  owner.mSelf = mSelf;
  owner.mAddress = mSettings.mListen.mPeer;
  owner.mSecret = mSecret;
  auto keys = once::KeyOwner::Create(owner);
  auto ledger = once::ExecutionLedger::Create({});
  if (!keys || !ledger) {
    return tl::make_unexpected(keys ? ledger.error() : keys.error());
  }
  mKeyOwner = std::move(*keys);
  mLedger = std::move(*ledger);
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OpenPlatform()
{
  store::http::StoreSettings store;
  store.mUrl = mSettings.mPlatform.mTableService;
  auto table = store::http::HttpTableService::Make(store);
  if (!table) {
    return tl::make_unexpected(table.error());
  }
  store.mUrl = mSettings.mPlatform.mObjectStore;
  auto objects = store::http::HttpObjectStore::Make(store);
  if (!objects) {
    return tl::make_unexpected(objects.error());
  }
  mTable = std::move(*table);
  mObjects = std::move(*objects);
  mProfiles.OnChange([](const profiles::ActiveProfiles::Snapshot& aSet) {
    spdlog::info("profiles in force version={}", aSet->mVersion);
  });
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OpenServing()
{
  transport::http::HttpBackendClientSettings client;
  client.mAddress = mSettings.mBackendServer;
  client.mMaxConnections = mSettings.mConnections;
  auto backend =
    transport::http::HttpBackendClient::Create(mIo.Context(), client);
  if (!backend) {
    return tl::make_unexpected(backend.error());
  }
  mBackend = std::move(*backend);
  ServingSettings serving;
  serving.mService = mSettings.mService;
  serving.mSecret = mSecret;
  serving.mAdmissionEnabled = mSettings.mOverload.mEnabled;
  serving.mAdmission.mLimit.mSlots = mSettings.mSlots;
  auto serving_side = ServingSide::Create(
    serving, mEnvironment, mCalls, *mBackend, *mLedger, mRegistry);
  if (!serving_side) {
    return tl::make_unexpected(serving_side.error());
  }
  mServing = std::move(*serving_side);
  return true;
}

std::shared_ptr<const OutgoingDependencies>
NodeRuntime::Components::MakeOutgoing()
{
  transport::peer::PeerClientSettings client;
  client.mIncarnation = mSelf;
  client.mSecret = mSecret;
  mPeerClient = transport::peer::PeerClient::Create(mIo.Context(), client);
  return std::make_shared<OutgoingDependencies>(OutgoingDependencies{
    mEnvironment,
    mSettings.mAvailabilityZone,
    *mRouter,
    *mRatio,
    *mPolicy,
    *mLevels,
    mRegistry,
    [this](const routing::Choice& aChoice,
           transport::PeerCall aCall,
           transport::PeerResultHandler aHandler) {
      SendAttempt(aChoice, std::move(aCall), std::move(aHandler));
    },
    mSettings.mOverload.mUnboundedRetries,
    mSettings.mOverload.mEnabled });
}

core::Expected<bool>
NodeRuntime::Components::OpenCalling()
{
  const auto dependencies = MakeOutgoing();
  mSettle = std::make_unique<SettleService>(
    mSelf, mSecret, mEnvironment, *mLedger, *mPeerClient);
  mKeyed = std::make_unique<KeyedCalls>(
    dependencies,
    AtMostOnceDependencies{
      mEnvironment,
      *mKeyOwner,
      [this](const core::Address& aAddress,
             core::Incarnation aExecutor,
             const std::string& aDispatch,
             core::TimePoint aDeadline,
             const SettleHandler& aHandler) {
        mSettle->Query(aAddress, aExecutor, aDispatch, aDeadline, aHandler);
      } },
    [this](const core::Address& aAddress,
           transport::PeerCall aCall,
           transport::PeerResultHandler aHandler) {
      mPeerClient->Send(aAddress, std::move(aCall), std::move(aHandler));
    });
  mCalling = std::make_unique<CallingSide>(
    dependencies,
    [this] { return mProfiles.Current(); },
    mCalls,
    *mKeyed,
    *mResends,
    [this](const std::string& aName, const std::string& aBody) {
      return OnNotice(aName, aBody);
    });
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OpenListeners()
{
  transport::http::CallListenerSettings listener;
  listener.mAddress = mSettings.mListen.mCaller;
  auto caller = transport::http::CallListener::Create(
    mIo.Context(),
    listener,
    [this](transport::Call aCall, transport::ResponseHandler aHandler) {
      mCalling->HandleCaller(std::move(aCall), std::move(aHandler));
    });
  if (!caller) {
    return tl::make_unexpected(caller.error());
  }
  mCallerListener = std::move(*caller);
  listener.mAddress = mSettings.mListen.mBackend;
  auto backend = transport::http::CallListener::Create(
    mIo.Context(),
    listener,
    [this](transport::Call aCall, transport::ResponseHandler aHandler) {
      mCalling->HandleBackend(std::move(aCall), std::move(aHandler));
    });
  if (!backend) {
    return tl::make_unexpected(backend.error());
  }
  mBackendListener = std::move(*backend);
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OpenPeers()
{
  transport::peer::PeerServerSettings server;
  server.mAddress = mSettings.mListen.mPeer;
  server.mIncarnation = mSelf;
  server.mSecret = mSecret;
  auto opened = transport::peer::PeerServer::Create(
    mIo.Context(),
    server,
    [this](transport::PeerCall aCall, transport::PeerResultHandler aHandler) {
      HandlePeerCall(std::move(aCall), std::move(aHandler));
    },
    [this](core::Incarnation,
           const std::string& aMethod,
           const std::string& aArgument,
           const std::function<void(core::Expected<std::string>)>& aResponse) {
      HandleControl(aMethod, aArgument, aResponse);
    });
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  mPeerServer = std::move(*opened);
  return true;
}

void
NodeRuntime::Components::SendAttempt(const routing::Choice& aChoice,
                                     transport::PeerCall aCall,
                                     transport::PeerResultHandler aHandler)
{
  if (aChoice.mIncarnation == mSelf) {
    mServing->Handle(std::move(aCall), std::move(aHandler));
    return;
  }
  mPeerClient->Send(aChoice.mPeer, std::move(aCall), std::move(aHandler));
}

void
NodeRuntime::Components::HandlePeerCall(transport::PeerCall aCall,
                                        transport::PeerResultHandler aHandler)
{
  ++mPeerCalls;
  if (KeyedCalls::IsForwarded(aCall.mContext)) {
    mKeyed->HandleForwarded(std::move(aCall), std::move(aHandler));
    return;
  }
  mServing->Handle(std::move(aCall), std::move(aHandler));
}

void
NodeRuntime::Components::HandleControl(
  const std::string& aMethod,
  const std::string& aArgument,
  const std::function<void(core::Expected<std::string>)>& aResponse)
{
  if (aMethod == profiles::ProfileExchange::kMethod) {
    aResponse(mSync->HandlePull());
    return;
  }
  if (aMethod == once::kSettleMethod) {
    aResponse(mSettle->HandleQuery(aArgument).map(once::EncodeSettle));
    return;
  }
  aResponse(mMembership->HandleControl(aMethod, aArgument));
}

void
NodeRuntime::Components::PullProfiles(
  const core::Address& aFrom,
  profiles::ProfileSync::PullCallback aCallback)
{
  mPeerClient->Control(aFrom,
                       {},
                       std::string(profiles::ProfileExchange::kMethod),
                       {},
                       mEnvironment.mNow() + kControlTimeout,
                       std::move(aCallback));
}

core::Expected<bool>
NodeRuntime::Components::OpenMembership()
{
  profiles::ProfileSync::Hooks sync;
  sync.mNotifyMembers = [this](std::uint64_t aVersion) {
    mMembership->NotifyVersion(aVersion);
  };
  sync.mPull = [this](const core::Address& aFrom,
                      profiles::ProfileSync::PullCallback aCallback) {
    PullProfiles(aFrom, std::move(aCallback));
  };
  sync.mMemberCount = [this] { return mMembership->View()->Alive(); };
  profiles::ProfileSync::Settings sync_settings;
  sync_settings.mSeed = mSelf.mBits;
  mSync = std::make_unique<profiles::ProfileSync>(
    *mTable, *mObjects, mProfiles, sync, sync_settings);

  membership::udp::MembershipServiceSettings settings;
  settings.mOwn.mIncarnation = mSelf;
  settings.mOwn.mAddress = mSettings.mListen.mPeer;
  settings.mOwn.mService = mSettings.mService;
  settings.mOwn.mRegion = mSettings.mRegion;
  settings.mOwn.mAvailabilityZone = mSettings.mAvailabilityZone;
  settings.mOwn.mSlots = mSettings.mSlots;
  settings.mOwn.mConnections = mSettings.mConnections;
  settings.mSeeds = mSettings.mSeeds;
  membership::udp::MembershipHooks hooks;
  hooks.mProfileVersion = [this] { return mProfiles.Version(); };
  hooks.mOnNewerVersion = [this](const core::Address& aFrom,
                                 std::uint64_t aVersion) {
    mSync->OnVersionSeen(aFrom, aVersion);
  };
  hooks.mOnViewChanged =
    [this](const std::shared_ptr<const membership::MemberView>& aView) {
      mCandidateUpdater->Apply(*aView, mEnvironment.mNow(), WallClockMs());
    };
  hooks.mSendControlRequest =
    [this](const core::Address& aAddress,
           core::Incarnation aTarget,
           std::string aMethod,
           std::string aArgument,
           std::function<void(core::Expected<std::string>)> aHandler) {
      mPeerClient->Control(aAddress,
                           aTarget,
                           std::move(aMethod),
                           std::move(aArgument),
                           mEnvironment.mNow() + kControlTimeout,
                           std::move(aHandler));
    };
  auto started = membership::udp::MembershipService::Start(
    std::move(settings), mTable, std::move(hooks));
  if (!started) {
    return tl::make_unexpected(started.error());
  }
  mMembership = std::move(*started);
  mSync->Start();
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OpenAdmin()
{
  std::vector<admin::AdminRoute> routes = admin::ProfileRoutes::Make(
    { *mTable,
      *mObjects,
      mProfiles,
      [this](const profiles::PublishedSet& aSet) { mSync->OnPublished(aSet); },
      {} });
  routes.push_back({ "GET", "/status", [this](const admin::AdminRequest&) {
                      return StatusResponse();
                    } });
  routes.push_back({ "GET", "/metrics", [this](const admin::AdminRequest&) {
                      UpdateControlBytes(mRegistry, mMembership->Counters());
                      return admin::AdminResponse::Text(
                        mRegistry.PrometheusText(),
                        "text/plain; version=0.0.4");
                    } });
  admin::AdminServer::Settings settings;
  settings.mListen = mSettings.mListen.mAdmin;
  auto opened = admin::AdminServer::Open(settings, std::move(routes));
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  mAdmin = std::move(*opened);
  return true;
}

core::Expected<bool>
NodeRuntime::Components::OnNotice(const std::string& aName,
                                  const std::string& aBody)
{
  if (aName == "announce") {
    const auto announcement = Announcement::Parse(aBody);
    if (!announcement) {
      return tl::make_unexpected(announcement.error());
    }
    mServing->SetSlots(announcement->mSlots);
    if (mServing->State() == ServerState::Starting) {
      PublishState(ServerState::Serving);
    }
    return true;
  }
  if (aName == "report") {
    const auto report = LoadReport::Parse(aBody);
    if (!report) {
      return tl::make_unexpected(report.error());
    }
    if (mServing->State() == ServerState::Starting) {
      // A replaced node makes the backend server announce itself again.
      return core::Fail(core::ErrorKind::NotReady, "announce first");
    }
    return true;
  }
  if (aName == "drain" || aName == "leave") {
    PublishState(ServerState::Draining);
    return true;
  }
  return core::Fail(core::ErrorKind::NotFound,
                    "notice \"" + aName + "\" is not known");
}

void
NodeRuntime::Components::PublishState(ServerState aState)
{
  if (mServing->State() == aState) {
    return;
  }
  mServing->SetState(aState);
  const bool serving = aState == ServerState::Serving;
  spdlog::info("backend server state={}", serving ? "serving" : "draining");
  mMembership->SetOwnState(serving ? membership::MemberState::Serving
                                   : membership::MemberState::Draining,
                           mSettings.mSlots,
                           mSettings.mConnections);
}

std::size_t
NodeRuntime::Components::InFlight() const
{
  return mServing->Pending() + mCallerListener->InFlight() +
         mBackendListener->InFlight() + mPeerServer->InFlight();
}

std::size_t
NodeRuntime::Components::Drain()
{
  PublishState(ServerState::Draining);
  mCallerListener->StopAccepting();
  const std::size_t unfinished = WaitUntilIdle([this] { return InFlight(); });
  mMembership->Leave();
  WaitUntilQuiet([this] { return mPeerCalls.load(); });
  spdlog::info("node left calls_not_ended={}", unfinished);
  return unfinished;
}

admin::AdminResponse
NodeRuntime::Components::StatusResponse() const
{
  return admin::AdminResponse::Json(StatusJson({ mSettings.mService,
                                                 mSettings.mAvailabilityZone,
                                                 mSelf,
                                                 mProfiles.Version(),
                                                 mServing->Status(),
                                                 mRouter->Ejections().mEjected,
                                                 mMembership->View() }));
}

} // namespace nutmegrock::node
