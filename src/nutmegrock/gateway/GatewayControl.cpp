// The components of a running node that handle control requests and signals.
#include "gateway/BoundedSettings.h"
#include "gateway/GatewayComponents.h"
#include "gateway/MemoryLimit.h"
#include "gateway/SimpleRequest.h"
#include "proxy/MessageText.h"
#include "settings/SettingsFile.h"

#include <array>
#include <boost/asio/post.hpp>
#include <csignal>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <thread>
#include <vector>

namespace nutmegrock::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSettingsCheckInterval{ 2'000 };

const std::string kJson = proxy::HeaderLine("Content-Type", "application/json");
const std::string kText = proxy::HeaderLine("Content-Type", "text/plain");

} // namespace

std::shared_ptr<proxy::RequestSink>
GatewayRuntime::Components::HandleNotice(
  const proxy::ServerExchangePtr& aExchange)
{
  return std::make_shared<SimpleRequest>(
    aExchange,
    [this](proxy::ServerExchange& aNotice, const std::string& aBody) {
      OnNotice(aNotice, aBody);
    });
}

void
GatewayRuntime::Components::OnNotice(proxy::ServerExchange& aExchange,
                                     const std::string& aBody)
{
  const proxy::RequestHead& head = aExchange.Head();
  const auto applied =
    mPorts.mDecodeNotice({ head.mMethod, head.mTarget, aBody })
      .and_then(
        [this](const ServerNotice& aNotice) { return ApplyNotice(aNotice); });
  if (!applied) {
    const core::ErrorRow& row = core::RowOf(applied.error().mKind);
    mRegistry
      .CounterOf("nutmegrock_notice_refused_total",
                 { { "reason", std::string(row.mName) } })
      .Add();
    if (mLog.ShouldLogRequest(core::Clock::now())) {
      mLog.LogState(
        fmt::format("event=notice_refused target=\"{}\" reason=\"{}\"",
                    head.mTarget,
                    applied.error().mMessage));
    }
    aExchange.SendResponse(row.mStatus, kText, applied.error().mMessage + "\n");
    return;
  }
  ProbeServer(core::Clock::now());
  PublishState();
  aExchange.SendResponse(200, kJson, mPorts.mNoticeResponse);
}

core::Expected<bool>
GatewayRuntime::Components::ApplyNotice(const ServerNotice& aNotice)
{
  if (const auto* heartbeat = std::get_if<announce::Announcement>(&aNotice)) {
    auto changed = mServing->OnHeartbeat(*heartbeat);
    if (!changed && changed.error().mKind == core::ErrorKind::VersionConflict) {
      // A late heartbeat is acknowledged and changes nothing.
      mRegistry.CounterOf("nutmegrock_heartbeat_late_total").Add();
      return false;
    }
    return changed;
  }
  const auto& leave = std::get<LeaveNotice>(aNotice);
  mServing->OnLeave(leave.mId, leave.mStartedMs);
  return true;
}

std::shared_ptr<proxy::RequestSink>
GatewayRuntime::Components::HandleReady(
  const proxy::ServerExchangePtr& aExchange)
{
  if (aExchange->Head().mTarget != mPorts.mReadyPath) {
    aExchange->SendResponse(404, kText, "not found\n");
  } else if (mStopping) {
    aExchange->SendResponse(503, kText, "stopping\n");
  } else if (mRoutes.Version() == 0) {
    aExchange->SendResponse(503, kText, "no routes yet\n");
  } else if (!mMembership->HasJoined()) {
    aExchange->SendResponse(503, kText, "no other nodes known yet\n");
  } else {
    aExchange->SendResponse(200, kText, "ready\n");
  }
  return nullptr;
}

std::shared_ptr<proxy::RequestSink>
GatewayRuntime::Components::HandleMetrics(
  const proxy::ServerExchangePtr& aExchange)
{
  const std::string& target = aExchange->Head().mTarget;
  if (target == "/status") {
    aExchange->SendResponse(200, kText, StatusText());
  } else if (target == "/metrics") {
    UpdateGauges();
    aExchange->SendResponse(200, kText, mRegistry.PrometheusText());
  } else {
    aExchange->SendResponse(404, kText, "not found\n");
  }
  return nullptr;
}

void
GatewayRuntime::Components::OnClientClosed(const core::Address& aListener,
                                           proxy::CloseReason aReason,
                                           const proxy::ConnectionState& aState)
{
  constexpr std::array<std::string_view, 3> kReasons = { "room",
                                                         "memory",
                                                         "stalled" };
  constexpr std::array<std::string_view, 3> kWaits = { "request",
                                                       "caller",
                                                       "node" };
  const auto reason = kReasons.at(static_cast<std::size_t>(aReason));
  const auto wait = kWaits.at(static_cast<std::size_t>(aState.mWait));
  mRegistry
    .CounterOf(
      "nutmegrock_clients_closed_total",
      { { "reason", std::string(reason) }, { "waits_for", std::string(wait) } })
    .Add();
  const core::TimePoint now = core::Clock::now();
  if (mLog.ShouldLogRequest(now)) {
    mLog.LogRequest(fmt::format(
      "event=client_closed listener={} reason={} waits_for={} since_ms={} "
      "held_bytes={}",
      aListener.ToString(),
      reason,
      wait,
      std::chrono::duration_cast<milliseconds>(now - aState.mSince).count(),
      aState.mBytes));
  }
}

void
GatewayRuntime::Components::FreeMemory()
{
  std::vector<proxy::HttpListener*> listeners;
  for (const HttpListenerPtr* listener : { &mCallerListener,
                                           &mNodeListener,
                                           &mNoticeListener,
                                           &mReadyListener,
                                           &mMetricsListener }) {
    if (*listener) {
      listeners.push_back(listener->get());
    }
  }
  proxy::HttpListener::FreeMemory(core::Clock::now(), mBuffers, listeners);
}

std::string
GatewayRuntime::Components::StatusText() const
{
  const core::TimePoint now = core::Clock::now();
  const auto progress = mRouteSync->ProgressAt(now);
  std::string text = fmt::format(
    "service {} zone {} incarnation {}\nroutes version {} heard {} age {} ms\n"
    "store answering {}\nmembers {}\nserver {} running {} waiting "
    "{} limit {} load {:.3f} work_time {}%\nbuffers {} of {} bytes\n",
    mSettings.mService,
    mSettings.mAvailabilityZone,
    mSelf.ToString(),
    mRoutes.Version(),
    progress.mHeardVersion,
    progress.mAge.count(),
    mRouteSync->IsStoreReachable(),
    mMembership->View()->Alive(),
    announce::NameOf(mServing->Server().Phase(now)),
    mServing->Queue().Running(),
    mServing->Queue().Waiting(),
    mServing->Queue().Limit(),
    mServing->Queue().Load(now),
    mServing->ServerWorkTime().Percent(now),
    mBuffers.Used(),
    mBuffers.Limit());
  for (const std::string& service : mServing->Queue().Downstream()) {
    const auto limit = mServing->Queue().DownstreamLimit(service);
    text += fmt::format("runs that call {} running {} limit {} cutoff {:.3f}\n",
                        service,
                        mServing->Queue().DownstreamRunning(service),
                        limit ? fmt::to_string(*limit) : "none",
                        mServing->Queue().DownstreamCutoff(service));
  }
  for (const auto& [service, cutoff] : mAdmission.CutoffsInForce()) {
    text += fmt::format("service {} load {:.3f} cutoff {:.3f}\n",
                        service,
                        mLoads.Load(now, service).value_or(0),
                        cutoff);
  }
  text += mTenantAllowances->StatusText();
  for (const auto& [route, cost] : mCosts.All()) {
    text += fmt::format("route {} complete {}", route, cost.mComplete);
    for (const overload::ServiceCost& part : cost.mServices) {
      text += fmt::format(" {}={:.3f}s", part.mService, part.mSlotSeconds);
    }
    text += "\n";
  }
  return text;
}

void
GatewayRuntime::Components::UpdateGauges()
{
  const auto set = [this](std::string_view aName, std::uint64_t aValue) {
    metrics::Counter& counter = mRegistry.CounterOf(aName);
    counter.Add(aValue - counter.Value());
  };
  set("nutmegrock_connections_opened_total", mPool->Counts().mOpened);
  set("nutmegrock_connections_reused_total", mPool->Counts().mReused);
  set("nutmegrock_connect_failed_total", mPool->Counts().mConnectFailed);
  set("nutmegrock_stray_answers_total", mPool->Counts().mUnexpectedResponses);
  const auto progress = mRouteSync->ProgressAt(core::Clock::now());
  set("nutmegrock_routes_version", progress.mVersion);
  set("nutmegrock_routes_version_heard", progress.mHeardVersion);
  set("nutmegrock_routes_pulls_failed_total", progress.mFailedPulls);
  set("nutmegrock_routes_age_ms",
      static_cast<std::uint64_t>(progress.mAge.count()));
  set("nutmegrock_log_lines_dropped_total", mLog.Dropped());
  set("nutmegrock_bad_requests_total", mCallerListener->BadRequests());
  set("nutmegrock_requests_held_back_total",
      mCallerListener->HeldBack() + mNodeListener->HeldBack());
  set("nutmegrock_connections_refused_total",
      mCallerListener->RefusedConnections());
  set("nutmegrock_connections_replaced_total",
      mCallerListener->ReplacedConnections() +
        mNodeListener->ReplacedConnections());
  set("nutmegrock_accept_errors_total",
      mCallerListener->AcceptErrors() + mNodeListener->AcceptErrors());
}

void
GatewayRuntime::Components::WaitForSignals()
{
  mSignals.async_wait(
    [this](const boost::system::error_code& aCode, int aSignal) {
      if (!aCode) {
        OnSignal(aSignal);
        WaitForSignals();
      }
    });
}

void
GatewayRuntime::Components::OnSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    ReloadSettings("signal");
    return;
  }
  StartStopping();
}

void
GatewayRuntime::Components::StartStopping()
{
  if (mStopping) {
    return;
  }
  mStopping.emplace(core::Clock::now(), mSettings.mBounds.mStop);
  mLog.LogState(fmt::format("event=stopping in_flight={}", InFlight()));
  mCallerListener->StartStopping();
  mNodeListener->StartStopping();
}

void
GatewayRuntime::Components::TickStopping(core::TimePoint aNow)
{
  const bool idle = InFlight() == 0 &&
                    mCallerListener->BusyConnections() == 0 &&
                    mNodeListener->BusyConnections() == 0;
  const StopActions actions = mStopping->Next(aNow, idle);
  if (actions.mAnnounceLeave && !mLeaving) {
    mLeaving = true;
    mTenantAllowances->StartLeaving();
    PublishState();
  }
  if (actions.mRefuseWork) {
    mServing->StartStopping();
  }
  if (actions.mRefuseRequests) {
    mEntry->StartRefusing();
  }
  if (actions.mAnswerAll) {
    mEntry->EndAll();
  }
  if (actions.mExit) {
    mDone = true;
    mIo.stop();
  }
}

void
GatewayRuntime::Components::CheckSettingsFile(core::TimePoint aNow)
{
  if (aNow - mSettingsCheckedAt < kSettingsCheckInterval) {
    return;
  }
  mSettingsCheckedAt = aNow;
  const auto text = settings::ReadTextFile(mSettingsPath);
  if (text && *text != mSettingsText) {
    ReloadSettings("file changed");
  }
}

void
GatewayRuntime::Components::ReloadSettings(std::string_view aCause)
{
  const auto text = settings::ReadTextFile(mSettingsPath);
  const auto loaded = text
                        ? settings::ParseGatewaySettings(*text, mSettingsPath)
                        : tl::make_unexpected(text.error());
  if (text) {
    mSettingsText = *text;
  }
  if (!loaded) {
    mLog.LogState(fmt::format("event=reload cause=\"{}\" result=refused "
                              "reason=\"{}\"",
                              aCause,
                              loaded.error().mMessage));
    return;
  }
  ApplySettings(*loaded);
  const auto keys = settings::KeysThatNeedRestart(mSettings, *loaded);
  mLog.LogState(
    fmt::format("event=reload cause=\"{}\" result=applied needs_restart={}",
                aCause,
                keys.empty() ? "-" : fmt::to_string(fmt::join(keys, ","))));
}

void
GatewayRuntime::Components::ApplySettings(
  const settings::GatewaySettings& aLoaded)
{
  if (aLoaded.mMemoryMb != mSettings.mMemoryMb) {
    mSettings.mMemoryMb = aLoaded.mMemoryMb;
    mBuffers.SetLimit(BufferLimitFor(mSettings.mMemoryMb));
  }
  mSettings.mLogLevel = aLoaded.mLogLevel;
  spdlog::set_level(spdlog::level::from_str(mSettings.mLogLevel));
  if (aLoaded.mBounds != mSettings.mBounds) {
    mSettings.mBounds = aLoaded.mBounds;
    mAllowance.SetSettings(AllowanceOf(mSettings.mBounds));
    mServing->SetLeaveGracePeriod(LeaveGracePeriodOf(mSettings.mBounds));
  }
  if (aLoaded.mSeeds != mSettings.mSeeds) {
    mSettings.mSeeds = aLoaded.mSeeds;
    mMembership->SetSeeds(mSettings.mSeeds);
  }
  if (aLoaded.mStore != mSettings.mStore && mPorts.mSetStore &&
      mPorts.mSetStore(aLoaded.mStore)) {
    mSettings.mStore = aLoaded.mStore;
    mRouteSync->Restart();
    mMembership->OnStoreChanged();
  }
}

} // namespace nutmegrock::gateway
