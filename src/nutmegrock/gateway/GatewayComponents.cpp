#include "gateway/GatewayComponents.h"

#include "gateway/BoundedSettings.h"
#include "gateway/DescriptorLimit.h"
#include "gateway/InboundCall.h"
#include "gateway/MemoryLimit.h"
#include "gateway/RouterDefaults.h"
#include "gateway/SimpleRequest.h"
#include "node/IoThreads.h"
#include "settings/SettingsFile.h"
#include "store/http/StoreClient.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <csignal>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Period of recurring work, and precision of deadlines; each wake-up costs
/// processor time.
constexpr milliseconds kTickInterval{ 20 };
/// Period of idle connection checks and saving costs.
constexpr milliseconds kSlowTickInterval{ 250 };
constexpr milliseconds kPoolTickInterval{ 100 };
constexpr std::chrono::seconds kControlTimeout{ 2 };
/// Time after which a health check without a complete response is cancelled.
constexpr milliseconds kProbeTimeout{ 2'000 };
/// Threads for the store client; at most three calls run concurrently.
constexpr std::size_t kStoreThreads = 4;
/// Minimum relative change of the slots that a limited rate can use that is
/// published; they follow the calls of the moment.
constexpr double kMinSlotChange = 0.3;
constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;

std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Slots of the serving members by availability zone.
std::vector<overload::ZoneSlots>
SlotsByZone(const std::vector<membership::MemberPtr>& aMembers)
{
  std::map<std::string, std::uint32_t> slots;
  for (const membership::MemberPtr& member : aMembers) {
    if (member->mState == membership::MemberState::Serving) {
      slots[member->mAvailabilityZone] += member->mSlots;
    }
  }
  std::vector<overload::ZoneSlots> zones;
  zones.reserve(slots.size());
  for (const auto& [zone, sum] : slots) {
    zones.push_back({ zone, sum });
  }
  return zones;
}

} // namespace

GatewayRuntime::Components::Components(settings::GatewaySettings aSettings,
                                       Ports aPorts)
  : mSettings(std::move(aSettings))
  , mPorts(std::move(aPorts))
  , mSelf(node::NewIncarnation())
  , mTimer(mIo)
  , mSignals(mIo, SIGTERM, SIGINT, SIGHUP)
  , mLog({}, [](std::string_view aLine) { spdlog::info("{}", aLine); })
  , mRuns(mGraph)
  , mAdmission(mCosts, mLoads)
  , mSheddingLog([this](std::string_view aLine) { mLog.LogState(aLine); })
  , mAllowance(AllowanceOf(mSettings.mBounds))
  , mBuffers(BufferLimitFor(mSettings.mMemoryMb),
             [this] { boost::asio::post(mIo, [this] { FreeMemory(); }); })
{
}

GatewayRuntime::Components::~Components()
{
  // Their threads call into this object.
  mLearnedCosts.reset();
  mMembership.reset();
  mRouteSync.reset();
}

core::Expected<bool>
GatewayRuntime::Components::Open()
{
  ReturnLargeBuffers();
  store::http::InitializeThreadPool(kStoreThreads);
  using Step = core::Expected<bool> (Components::*)();
  // Handlers run only after Run() starts mIo, so they may use components opened
  // later.
  for (const Step step : { &Components::OpenPolicies,
                           &Components::OpenListeners,
                           &Components::OpenPeers }) {
    if (auto opened = (this->*step)(); !opened) {
      return opened;
    }
  }
  OpenRoutes();
  if (auto opened = OpenMembership(); !opened) {
    return opened;
  }
  OpenLearnedCosts();
  mRouteSync->Start();
  mLog.LogState(fmt::format(
    "event=start service={} zone={} incarnation={} caller={} peer={} "
    "buffer_mb={}",
    mSettings.mService,
    mSettings.mAvailabilityZone,
    mSelf.ToString(),
    mSettings.mListen.mCaller.ToString(),
    mSettings.mListen.mPeer.ToString(),
    mBuffers.Limit() / kMegabyte));
  return true;
}

core::Expected<bool>
GatewayRuntime::Components::OpenPolicies()
{
  auto router = routing::Router::Create(
    RouterDefaults(),
    [this](core::Incarnation aServer,
           std::optional<routing::EjectionReason> aReason) {
      OnEjection(aServer, aReason);
    });
  if (!router) {
    return tl::make_unexpected(router.error());
  }
  mRouter = std::move(*router);
  mCandidateUpdater = std::make_unique<node::CandidateUpdater>(*mRouter);
  const auto now = [] { return core::Clock::now(); };
  mPool = std::make_unique<proxy::ClientPool>(mIo, mPorts.mNames, now);
  mShared = std::make_unique<SharedComponents>(SharedComponents{
    now,
    *mPool,
    mGraph,
    mRuns,
    mDownstream,
    mCallerShares,
    mRetryShares,
    mCosts,
    mLoads,
    mRegistry,
    mLog,
    [this] { return mRoutes.Version(); },
    [this](const std::string& aRoute) { return ServiceOf(aRoute); },
    [this] { return mServices; },
    [this](const core::Address& aFrom, std::uint64_t aVersion) {
      mRouteSync->OnVersionSeen(aFrom, aVersion);
    },
    &mBuffers });
  ServingSettings serving;
  serving.mSelf = mSelf;
  serving.mZone = mSettings.mAvailabilityZone;
  serving.mServer.mService = mSettings.mService;
  serving.mServer.mAddress = mSettings.mBackendServer;
  serving.mServer.mNodeStart = core::Clock::now();
  serving.mServer.mNodeStartMs = WallClockMs();
  serving.mServer.mCheckTimeout = kProbeTimeout;
  serving.mServer.mLeaveGracePeriod = LeaveGracePeriodOf(mSettings.mBounds);
  mServing = std::make_unique<Serving>(serving, *mShared);
  EntrySettings entry;
  entry.mSelf = mSelf;
  entry.mService = mSettings.mService;
  entry.mZone = mSettings.mAvailabilityZone;
  entry.mPeerPort = mSettings.mListen.mNodes.mPort;
  mEntry = std::make_unique<Entry>(
    entry, *mShared, *mServing, mRoutes, *mRouter, mAdmission, mAllowance);
  return true;
}

core::Expected<GatewayRuntime::Components::HttpListenerPtr>
GatewayRuntime::Components::Listen(const core::Address& aAddress,
                                   std::size_t aMaxConnections,
                                   proxy::RequestHandler aHandler)
{
  proxy::HttpListenerSettings settings;
  settings.mAddress = aAddress;
  settings.mMaxConnections = aMaxConnections;
  settings.mNames = mPorts.mNames;
  settings.mBudget = &mBuffers;
  settings.mOnClose = [this, aAddress](proxy::CloseReason aReason,
                                       const proxy::ConnectionState& aState) {
    OnClientClosed(aAddress, aReason, aState);
  };
  return proxy::HttpListener::Create(
    mIo,
    std::move(settings),
    [] { return core::Clock::now(); },
    std::move(aHandler));
}

core::Expected<bool>
GatewayRuntime::Components::OpenListeners()
{
  const auto& listen = mSettings.mListen;
  using Handler = proxy::RequestHandler;
  struct Listener
  {
    HttpListenerPtr& mTarget;
    const core::Address& mAddress;
    std::size_t mMaxConnections;
    Handler mHandler;
  };
  const ConnectionLimits limits =
    ConnectionLimitsFor(ReadDescriptorLimit().mSoft);
  const std::vector<Listener> listeners = {
    { mCallerListener,
      listen.mCaller,
      limits.mTraffic,
      [this](const proxy::ServerExchangePtr& aExchange) {
        return mEntry->Handle(aExchange);
      } },
    { mNodeListener,
      listen.mNodes,
      limits.mTraffic,
      [this](const proxy::ServerExchangePtr& aExchange) {
        return InboundCall::Handle(*mServing, aExchange);
      } },
    { mNoticeListener,
      listen.mNotices,
      limits.mControl,
      [this](const proxy::ServerExchangePtr& aExchange) {
        return HandleNotice(aExchange);
      } },
    { mReadyListener,
      listen.mReady,
      limits.mControl,
      [this](const proxy::ServerExchangePtr& aExchange) {
        return HandleReady(aExchange);
      } },
  };
  for (const Listener& listener : listeners) {
    auto opened =
      Listen(listener.mAddress, listener.mMaxConnections, listener.mHandler);
    if (!opened) {
      return tl::make_unexpected(opened.error());
    }
    listener.mTarget = std::move(*opened);
  }
  OpenMetrics();
  // Requests between nodes have passed the limits of the caller listener
  // already, and connections between nodes are closed by the side that opened
  // them.
  routes::CallerLimits node_limits;
  node_limits.mMaxHeaderBytes *= 2;
  node_limits.mIdleTimeout = std::chrono::seconds(60);
  mNodeListener->SetLimits(node_limits);
  return true;
}

// The node can serve without this address.
void
GatewayRuntime::Components::OpenMetrics()
{
  const core::Address& address = mSettings.mListen.mMetrics;
  auto opened =
    Listen(address,
           ConnectionLimitsFor(ReadDescriptorLimit().mSoft).mControl,
           [this](const proxy::ServerExchangePtr& aExchange) {
             return HandleMetrics(aExchange);
           });
  if (opened) {
    mMetricsListener = std::move(*opened);
  }
  if (mMetricsListener && mMetricsBusy) {
    mLog.LogState(
      fmt::format("event=address_free address={}", address.ToString()));
  } else if (!mMetricsListener && !mMetricsBusy) {
    mLog.LogState(fmt::format("event=address_busy address={} reason=\"{}\"",
                              address.ToString(),
                              opened.error().mMessage));
  }
  mMetricsBusy = !mMetricsListener;
}

core::Expected<bool>
GatewayRuntime::Components::OpenPeers()
{
  transport::peer::PeerClientSettings client;
  client.mIncarnation = mSelf;
  mPeerClient = transport::peer::PeerClient::Create(mIo, client);
  OpenAllowances();
  transport::peer::PeerServerSettings server;
  server.mAddress = mSettings.mListen.mPeer;
  server.mIncarnation = mSelf;
  auto opened = transport::peer::PeerServer::Create(
    mIo,
    server,
    [](const transport::PeerCall&,
       const transport::PeerResultHandler& aHandler) {
      aHandler({ core::Fail(core::ErrorKind::NotFound,
                            "requests are accepted only on the node listener"),
                 {} });
    },
    [this](core::Incarnation aFrom,
           const std::string& aMethod,
           const std::string& aArgument,
           const std::function<void(core::Expected<std::string>)>& aResponse) {
      aResponse(HandleControl(aFrom, aMethod, aArgument));
    });
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  mPeerServer = std::move(*opened);
  return true;
}

core::Expected<bool>
GatewayRuntime::Components::OpenMembership()
{
  membership::udp::MembershipServiceSettings settings;
  settings.mOwn.mIncarnation = mSelf;
  settings.mOwn.mAddress = mSettings.mListen.mPeer;
  settings.mOwn.mService = mSettings.mService;
  settings.mOwn.mRegion = mSettings.mRegion;
  settings.mOwn.mAvailabilityZone = mSettings.mAvailabilityZone;
  settings.mSeeds = mSettings.mSeeds;
  membership::udp::MembershipHooks hooks;
  hooks.mProfileVersion = [this] { return mRoutes.Version(); };
  hooks.mOnNewerVersion = [this](const core::Address& aFrom,
                                 std::uint64_t aVersion) {
    mRouteSync->OnVersionSeen(aFrom, aVersion);
  };
  hooks.mProfileAge = [this]() -> std::optional<membership::ProfileAge> {
    const auto last = mRouteSync->LastConfirmation();
    if (!last) {
      return std::nullopt;
    }
    return membership::ProfileAge{ last->mStoreMs,
                                   std::chrono::ceil<milliseconds>(
                                     core::Clock::now() - last->mAt) };
  };
  hooks.mOnProfileAge = [this](const membership::ProfileAge& aAge) {
    mRouteSync->OnConfirmed({ core::Clock::now() - aAge.mAge, aAge.mStoreMs });
  };
  hooks.mOnViewChanged = [this](const membership::MemberViewPtr& aView) {
    boost::asio::post(mIo, [this, aView] { OnView(aView); });
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
                           core::Clock::now() + kControlTimeout,
                           std::move(aHandler));
    };
  auto started = membership::udp::MembershipService::Start(
    std::move(settings), mPorts.mTable, std::move(hooks));
  if (!started) {
    return tl::make_unexpected(started.error());
  }
  mMembership = std::move(*started);
  return true;
}

void
GatewayRuntime::Components::OpenLearnedCosts()
{
  LearnedCosts::Hooks hooks;
  hooks.mOnRead = [this](LearnedState aState) {
    boost::asio::post(
      mIo, [this, state = std::move(aState)] { OnSavedState(state); });
  };
  hooks.mLog = [](const std::string& aLine) { spdlog::info("{}", aLine); };
  mLearnedCosts = std::make_unique<LearnedCosts>(
    mPorts.mTable, mSettings.mService, std::move(hooks));
}

void
GatewayRuntime::Components::OnSavedState(const LearnedState& aState)
{
  mCosts.Restore(aState.mCosts);
  mServing->RestoreDownstream(aState.mDownstream);
  mSavedCosts.OnSaved(core::Clock::now(), aState.mCosts, aState.mDownstream);
}

// The routes in force stay as they are, since their version only rises.
void
GatewayRuntime::Components::OnStoreRolledBack()
{
  mRegistry.CounterOf("nutmegrock_store_rollbacks_total", {}).Add();
  mMembership->OnStoreChanged();
  mSavedCosts.OnLost();
}

void
GatewayRuntime::Components::SaveCosts(core::TimePoint aNow)
{
  if (!mSavesCosts || mStopping) {
    return;
  }
  const auto downstream = mServing->KnownDownstream();
  if (mSavedCosts.IsDue(aNow, mCosts.All(), downstream)) {
    const NamedCosts known = overload::SavedCosts::CompleteCosts(mCosts.All());
    mSavedCosts.OnSaved(aNow, known, downstream);
    mLearnedCosts->Save({ known, downstream });
  }
}

void
GatewayRuntime::Components::OnEjection(
  core::Incarnation aServer,
  std::optional<routing::EjectionReason> aReason)
{
  const std::string_view reason =
    aReason
      ? routing::kEjectionReasonNames.at(static_cast<std::size_t>(*aReason))
      : "-";
  if (aReason) {
    mRegistry
      .CounterOf("nutmegrock_ejections_total",
                 { { "reason", std::string(reason) } })
      .Add();
  }
  mLog.LogState(fmt::format("event={} server={} reason={}",
                            aReason ? "ejected" : "ejection_over",
                            aServer.ToString(),
                            reason));
}

void
GatewayRuntime::Components::OnView(const membership::MemberViewPtr& aView)
{
  mCandidateUpdater->Apply(*aView, core::Clock::now(), WallClockMs());
  mAllowance.SetNodes(aView->Alive());
  mServices = aView->mByService.size();
  mRouteSync->SetNodes(aView->Alive());
  mTenantAllowances->OnView(*aView, mMembership->HasJoined());
  // One node of each service writes the costs. While views differ two nodes may
  // write, which the store's versions make safe.
  const auto& siblings = aView->OfService(mSettings.mService);
  mSavesCosts = !siblings.empty() && siblings.front()->mIncarnation == mSelf;
  for (const auto& [service, members] : aView->mByService) {
    mLoads.SetZones(service, SlotsByZone(members));
  }
  mLog.LogState(fmt::format("event=members number={} alive={} services={}",
                            aView->mNumber,
                            aView->Alive(),
                            aView->mByService.size()));
}

std::uint32_t
GatewayRuntime::Components::PublishableSlots() const
{
  const auto& latest = mServing->Server().Latest();
  if (!latest) {
    return 0;
  }
  const std::uint32_t usable = mServing->Queue().UsableSlots(latest->mSlots);
  const double change = std::abs(static_cast<double>(usable) - mPublishedSlots);
  const bool limited = mServing->Queue().RateLimit().has_value();
  return limited && mPublishedSlots > 0 && mPublishedSlots <= latest->mSlots &&
             change < kMinSlotChange * mPublishedSlots
           ? mPublishedSlots
           : usable;
}

void
GatewayRuntime::Components::PublishState()
{
  const auto& server = mServing->Server();
  auto state = membership::MemberState::Starting;
  if (mLeaving) {
    state = membership::MemberState::Draining;
  } else {
    switch (server.Phase(core::Clock::now())) {
      case announce::ServerPhase::Absent:
        break;
      case announce::ServerPhase::Serving:
        state = membership::MemberState::Serving;
        break;
      case announce::ServerPhase::Leaving:
        state = membership::MemberState::Draining;
        break;
    }
  }
  // A server that is not used yet has none, so that its first heartbeat and the
  // check that confirms it lead to one update for the other nodes, not to two.
  const bool used = state != membership::MemberState::Starting;
  const std::uint32_t slots = used ? PublishableSlots() : 0;
  if (state == mPublished && slots == mPublishedSlots) {
    return;
  }
  mPublished = state;
  mPublishedSlots = slots;
  mLog.LogState(fmt::format("event=server_state state={} server={} slots={}",
                            membership::NameOf(state),
                            server.Latest() ? server.Latest()->mId : "-",
                            slots));
  mMembership->SetOwnState(state, slots, 0);
}

// A node restarted next to a running server identifies it within a round trip
// instead of waiting for a heartbeat. A heartbeat soon after the start may be a
// late one, and is confirmed in the same way.
void
GatewayRuntime::Components::ProbeServer(core::TimePoint aNow)
{
  if (mProbe && aNow - mProbedAt >= kProbeTimeout) {
    mProbe.reset();
  }
  const routes::RouteSetPtr routes = mRoutes.Current();
  if (mStopping || !routes || !mServing->Server().NeedsCheck(aNow)) {
    return;
  }
  mServing->OnCheckSent(aNow);
  for (const routes::RouteService& service : routes->Services()) {
    if (service.mName == mSettings.mService && !service.mHealthPath.empty()) {
      mProbedAt = aNow;
      mProbe = ServerProbe::Send(
        *mPool,
        mSettings.mBackendServer,
        service.mHealthPath,
        [this](const ServerHealth& aHealth) { mServing->OnHealthy(aHealth); });
    }
  }
}

void
GatewayRuntime::Components::ScheduleTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode && !mDone) {
      Tick();
      ScheduleTick();
    }
  });
}

void
GatewayRuntime::Components::Tick()
{
  const core::TimePoint now = core::Clock::now();
  mEntry->Tick();
  mServing->Tick();
  mAdmission.Tick(now);
  mSheddingLog.Tick(now, mAdmission.CutoffsInForce(), mCosts);
  TickAllowances();
  if (now - mPoolTickAt >= kPoolTickInterval) {
    mPoolTickAt = now;
    mPool->Tick();
  }
  ProbeServer(now);
  PublishState();
  if (now - mSlowTickAt >= kSlowTickInterval) {
    mSlowTickAt = now;
    mCallerListener->Tick();
    mNodeListener->Tick();
    mNoticeListener->Tick();
    mReadyListener->Tick();
    if (mMetricsListener) {
      mMetricsListener->Tick();
    } else {
      OpenMetrics();
    }
    SaveCosts(now);
  }
  if (mStopping) {
    TickStopping(now);
  } else {
    CheckSettingsFile(now);
  }
}

std::size_t
GatewayRuntime::Components::Run(const std::string& aSettingsPath,
                                std::string aSettingsText)
{
  mSettingsPath = aSettingsPath;
  mSettingsText = std::move(aSettingsText);
  WaitForSignals();
  ScheduleTick();
  mIo.run();
  const std::size_t cut_off = InFlight();
  mLog.LogState(fmt::format("event=stop requests_cut_off={}", cut_off));
  return cut_off;
}

std::size_t
GatewayRuntime::Components::InFlight() const
{
  return mEntry->InFlight() + mServing->InFlight();
}

} // namespace nutmegrock::gateway
