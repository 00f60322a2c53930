#pragma once

#include "gateway/AllowanceExchange.h"
#include "gateway/Entry.h"
#include "gateway/GatewayRuntime.h"
#include "gateway/LearnedCosts.h"
#include "gateway/ServerProbe.h"
#include "gateway/Serving.h"
#include "gateway/SheddingLog.h"
#include "gateway/StopSequence.h"
#include "membership/udp/MembershipService.h"
#include "metrics/Registry.h"
#include "node/CandidateUpdater.h"
#include "overload/EntryAdmission.h"
#include "overload/SavedCosts.h"
#include "proxy/HttpListener.h"
#include "retry/RetryAllowance.h"
#include "routes/RouteSync.h"
#include "transport/peer/PeerClient.h"
#include "transport/peer/PeerServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace nutmegrock::gateway {

/// The components of a running node, in order of creation; they are destroyed
/// in reverse order.
class GatewayRuntime::Components
{
public:
  Components(settings::GatewaySettings aSettings, Ports aPorts);
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;
  ~Components();

  core::Expected<bool> Open();
  std::size_t Run(const std::string& aSettingsPath, std::string aSettingsText);

private:
  using HttpListenerPtr = std::unique_ptr<proxy::HttpListener>;

  core::Expected<bool> OpenPolicies();
  core::Expected<bool> OpenListeners();
  core::Expected<HttpListenerPtr> Listen(const core::Address& aAddress,
                                         std::size_t aMaxConnections,
                                         proxy::RequestHandler aHandler);
  /// Does nothing but log if the address is in use; the next slow tick tries
  /// again.
  void OpenMetrics();
  core::Expected<bool> OpenPeers();
  core::Expected<bool> OpenMembership();
  void OpenAllowances();
  void OpenRoutes();
  void OpenLearnedCosts();
  /// The store lost rows that this node may have written.
  void OnStoreRolledBack();

  /// Handles a control request of another node.
  core::Expected<std::string> HandleControl(core::Incarnation aFrom,
                                            const std::string& aMethod,
                                            const std::string& aArgument);
  void TickAllowances();
  std::shared_ptr<proxy::RequestSink> HandleNotice(
    const proxy::ServerExchangePtr& aExchange);
  void OnNotice(proxy::ServerExchange& aExchange, const std::string& aBody);
  core::Expected<bool> ApplyNotice(const ServerNotice& aNotice);
  std::shared_ptr<proxy::RequestSink> HandleReady(
    const proxy::ServerExchangePtr& aExchange);
  std::shared_ptr<proxy::RequestSink> HandleMetrics(
    const proxy::ServerExchangePtr& aExchange);
  std::string StatusText() const;
  /// A connection is about to be closed for the behaviour of its caller.
  void OnClientClosed(const core::Address& aListener,
                      proxy::CloseReason aReason,
                      const proxy::ConnectionState& aState);
  /// Closes connections that take too much memory.
  void FreeMemory();
  void UpdateGauges();

  void PublishState();
  /// Slots of the local backend server that other nodes may use.
  std::uint32_t PublishableSlots() const;
  void ProbeServer(core::TimePoint aNow);
  void OnEjection(core::Incarnation aServer,
                  std::optional<routing::EjectionReason> aReason);
  void OnView(const membership::MemberViewPtr& aView);
  void OnRoutes(const routes::RouteSetPtr& aRoutes);
  /// Logs and counts the routes and tenants that could not be read.
  void ReportSkipped(const routes::RouteSetSource& aSource);
  std::string ServiceOf(const std::string& aRoute) const;
  void OnSavedState(const LearnedState& aState);
  void SaveCosts(core::TimePoint aNow);
  void ScheduleTick();
  void Tick();
  void WaitForSignals();
  void OnSignal(int aSignal);
  void StartStopping();
  void TickStopping(core::TimePoint aNow);
  void ReloadSettings(std::string_view aCause);
  void ApplySettings(const settings::GatewaySettings& aLoaded);
  void CheckSettingsFile(core::TimePoint aNow);
  std::size_t InFlight() const;

  settings::GatewaySettings mSettings;
  Ports mPorts;
  const core::Incarnation mSelf;
  boost::asio::io_context mIo{ 1 };
  boost::asio::steady_timer mTimer;
  boost::asio::signal_set mSignals;
  metrics::Registry mRegistry;
  DecisionLog mLog;
  routes::ActiveRoutes mRoutes;
  overload::CallGraph mGraph;
  overload::RunTracker mRuns;
  overload::DownstreamLimits mDownstream;
  overload::CallerShares mCallerShares;
  retry::RetryShare mRetryShares;
  overload::RouteCosts mCosts;
  overload::ServiceLoads mLoads;
  overload::EntryAdmission mAdmission;
  SheddingLog mSheddingLog;
  retry::RetryAllowance mAllowance;
  std::unique_ptr<routing::Router> mRouter;
  std::unique_ptr<node::CandidateUpdater> mCandidateUpdater;
  std::unique_ptr<proxy::ClientPool> mPool;
  proxy::BufferBudget mBuffers;
  std::unique_ptr<SharedComponents> mShared;
  std::unique_ptr<Serving> mServing;
  std::unique_ptr<Entry> mEntry;
  HttpListenerPtr mCallerListener;
  HttpListenerPtr mNodeListener;
  HttpListenerPtr mNoticeListener;
  HttpListenerPtr mReadyListener;
  /// Null while its address is in use.
  HttpListenerPtr mMetricsListener;
  bool mMetricsBusy = false;
  std::unique_ptr<transport::peer::PeerClient> mPeerClient;
  std::shared_ptr<AllowanceExchange> mTenantAllowances;
  std::unique_ptr<transport::peer::PeerServer> mPeerServer;
  std::unique_ptr<routes::RouteSync> mRouteSync;
  std::unique_ptr<membership::udp::MembershipService> mMembership;
  std::unique_ptr<LearnedCosts> mLearnedCosts;

  std::string mSettingsPath;
  std::string mSettingsText;
  core::TimePoint mSettingsCheckedAt;
  core::TimePoint mSlowTickAt;
  core::TimePoint mPoolTickAt;
  membership::MemberState mPublished = membership::MemberState::Starting;
  std::uint32_t mPublishedSlots = 0;
  std::size_t mServices = 0;
  overload::SavedCosts mSavedCosts;
  /// True if this node writes the costs of its service to the store.
  bool mSavesCosts = false;
  std::shared_ptr<ServerProbe> mProbe;
  core::TimePoint mProbedAt;
  /// Empty until the signal to stop.
  std::optional<StopSequence> mStopping;
  /// True if the allowances know that this node has found the others.
  bool mAllowancesJoined = false;
  /// True if other nodes have been notified that this one stops.
  bool mLeaving = false;
  bool mDone = false;
};

} // namespace nutmegrock::gateway
