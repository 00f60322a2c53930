#pragma once

#include "gateway/Entry.h"
#include "gateway/InboundCall.h"
#include "gateway/Serving.h"
#include "proxy/HeaderNames.h"
#include "proxy/HttpListener.h"
#include "proxy/MessageText.h"
#include "tests/transport/RawSocket.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace nutmegrock::tests {

using std::chrono::milliseconds;

/// Routes without tenants.
inline routes::RouteSetSource
MakeRoutes()
{
  routes::RouteSetSource source;
  source.mVersion = 3;
  source.mServices = { { "till", "/health", 10 },
                       { "tracker", "/health", 10 } };
  const auto add = [&source](const char* aName, routes::RouteKind aKind) {
    routes::Route route;
    route.mName = aName;
    route.mHost = "shop.example";
    route.mPathPrefix = std::string("/") + aName + "/";
    route.mKind = aKind;
    route.mTargets = { { "till", 1 } };
    route.mTimeout = milliseconds(1500);
    route.mLatencyObjective = milliseconds(500);
    route.mMaxAttempts = 2;
    source.mRoutes.push_back(route);
  };
  add("read", routes::RouteKind::Idempotent);
  add("pay", routes::RouteKind::NonIdempotent);
  add("part", routes::RouteKind::Idempotent);
  source.mRoutes.back().mTargets = { { "tracker", 1 } };
  source.mRoutes.back().mPriority = 2;
  return source;
}

/// A node with an entry half and one serving half on one thread; the test acts
/// as its backend server, and as the node of the service "tracker", which the
/// route "part" leads to.
class Node
{
public:
  Node()
    : mWork(boost::asio::make_work_guard(mIo))
    , mLog({}, [](std::string_view) {})
    , mRuns(mGraph)
    , mAdmission(mCosts, mLoads)
  {
    Open();
    mThread = std::thread([this] { mIo.run(); });
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node()
  {
    Do([this] {
      mDone = true;
      mListener.reset();
      mInbound.reset();
      mPool.reset();
    });
    mIo.stop();
    mThread.join();
  }

  template<class Function>
  void Do(Function aFunction)
  {
    std::promise<void> done;
    boost::asio::post(mIo, [&] {
      aFunction();
      done.set_value();
    });
    done.get_future().wait();
  }
  RawSocket Connect() { return RawSocket(mListener->LocalAddress()); }
  /// Connects as another node.
  RawSocket ConnectAsNode() { return RawSocket(mInbound->LocalAddress()); }
  static std::string Request(const std::string& aRoute, int aDeadlineMs = 1500)
  {
    return "GET /" + aRoute +
           "/1 HTTP/1.1\r\nHost: shop.example\r\n"
           "Nutmegrock-Request: id-1\r\nNutmegrock-Deadline-Ms: " +
           std::to_string(aDeadlineMs) + "\r\n\r\n";
  }
  /// Stops the clock of both halves, so that times are exact.
  void Freeze()
  {
    Do([this] { mFrozenAt = core::Clock::now(); });
  }
  /// Sets the stopped clock forward.
  void Advance(milliseconds aTime)
  {
    Do([this, aTime] {
      *mFrozenAt += aTime;
      mServing->Tick();
    });
  }
  /// Tells the node whether backend servers call the route.
  void LearnInternal(const std::string& aRoute, bool aInternal)
  {
    Do([&] { mCosts.Learn(aRoute, { {}, true, aInternal }); });
  }
  /// Makes the route lead to the service, which serves up to this rank.
  void MakeScarce(const std::string& aRoute,
                  const std::string& aService,
                  double aCutoff)
  {
    Do([&] {
      const core::TimePoint now = core::Clock::now();
      mCosts.Learn(aRoute, { { { aService, 0.1 } }, true, false });
      mLoads.OnServerLoad(
        now, { aService, "", core::Incarnation{ 99 }, 1, aCutoff });
      mAdmission.Tick(now);
    });
  }
  /// Puts routes in force; each call needs a higher version.
  void Activate(const routes::RouteSetSource& aSource)
  {
    REQUIRE(mRoutes.Activate(*routes::RouteSet::Create(aSource)));
  }
  metrics::Registry& Metrics() { return mRegistry; }
  boost::asio::io_context& Io() { return mIo; }
  RawServer& Server() { return mServer; }
  RawServer& Peer() { return mPeer; }
  gateway::Serving& ServingHalf() { return *mServing; }
  gateway::Entry& EntryHalf() { return *mEntry; }
  core::Incarnation Self() const { return mSelf; }

private:
  void Open()
  {
    const auto now = [] { return core::Clock::now(); };
    mPool = std::make_unique<proxy::ClientPool>(mIo, proxy::HeaderNames(), now);
    mShared =
      std::make_unique<gateway::SharedComponents>(gateway::SharedComponents{
        [this] { return mFrozenAt.value_or(core::Clock::now()); },
        *mPool,
        mGraph,
        mRuns,
        mDownstream,
        mShares,
        mRetryShares,
        mCosts,
        mLoads,
        mRegistry,
        mLog,
        [] { return std::uint64_t{ 3 }; },
        [](const std::string& aRoute) {
          return std::string(aRoute == "part" ? "tracker" : "till");
        },
        [] { return std::size_t{ 1 }; },
        [](const core::Address&, std::uint64_t) {} });
    gateway::ServingSettings serving;
    serving.mSelf = mSelf;
    serving.mServer.mService = "till";
    serving.mServer.mAddress = mServer.Address();
    mServing = std::make_unique<gateway::Serving>(serving, *mShared);
    announce::Announcement heartbeat;
    heartbeat.mId = "i-1";
    heartbeat.mService = "till";
    heartbeat.mAddress = mServer.Address();
    heartbeat.mSlots = 4;
    heartbeat.mSequence = 1;
    REQUIRE(mServing->OnHeartbeat(heartbeat).has_value());
    mRouter = std::move(*routing::Router::Create({}));
    routing::Candidate self;
    self.mIncarnation = mSelf;
    self.mSlots = 4;
    mRouter->Update(core::Clock::now(), "till", { self });
    routing::Candidate peer;
    peer.mIncarnation = { 99 };
    peer.mPeer = mPeer.Address();
    peer.mSlots = 4;
    mRouter->Update(core::Clock::now(), "tracker", { peer });
    Activate(MakeRoutes());
    gateway::EntrySettings entry;
    entry.mSelf = mSelf;
    entry.mService = "shop";
    entry.mPeerPort = mPeer.Address().mPort;
    mEntry = std::make_unique<gateway::Entry>(
      entry, *mShared, *mServing, mRoutes, *mRouter, mAdmission, mAllowance);
    proxy::HttpListenerSettings listener;
    listener.mAddress = { "127.0.0.1", 0 };
    mListener = std::move(*proxy::HttpListener::Create(
      mIo, listener, now, [this](const proxy::ServerExchangePtr& aExchange) {
        return mEntry->Handle(aExchange);
      }));
    OpenInbound(listener);
    ScheduleTick();
  }
  void OpenInbound(const proxy::HttpListenerSettings& aSettings)
  {
    mInbound = std::move(*proxy::HttpListener::Create(
      mIo,
      aSettings,
      [] { return core::Clock::now(); },
      [this](const proxy::ServerExchangePtr& aExchange) {
        return gateway::InboundCall::Handle(*mServing, aExchange);
      }));
  }
  void ScheduleTick()
  {
    mTimer.expires_after(milliseconds(20));
    mTimer.async_wait([this](boost::system::error_code aCode) {
      if (!aCode && !mDone) {
        mEntry->Tick();
        mServing->Tick();
        mPool->Tick();
        ScheduleTick();
      }
    });
  }

  RawServer mServer;
  RawServer mPeer;
  boost::asio::io_context mIo{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  boost::asio::steady_timer mTimer{ mIo };
  const core::Incarnation mSelf{ 77 };
  metrics::Registry mRegistry;
  gateway::DecisionLog mLog;
  std::optional<core::TimePoint> mFrozenAt;
  overload::CallGraph mGraph;
  overload::RunTracker mRuns;
  overload::DownstreamLimits mDownstream;
  overload::CallerShares mShares;
  retry::RetryShare mRetryShares;
  overload::RouteCosts mCosts;
  overload::ServiceLoads mLoads;
  overload::EntryAdmission mAdmission;
  retry::RetryAllowance mAllowance;
  routes::ActiveRoutes mRoutes;
  std::unique_ptr<proxy::ClientPool> mPool;
  std::unique_ptr<gateway::SharedComponents> mShared;
  std::unique_ptr<gateway::Serving> mServing;
  std::unique_ptr<routing::Router> mRouter;
  std::unique_ptr<gateway::Entry> mEntry;
  std::unique_ptr<proxy::HttpListener> mListener;
  std::unique_ptr<proxy::HttpListener> mInbound;
  bool mDone = false;
  std::thread mThread;
};

/// A complete response of the backend server to such a request.
inline const std::string kWhole =
  "HTTP/1.1 200 OK\r\nNutmegrock-Request: id-1\r\n"
  "Nutmegrock-Seal: s\r\nContent-Length: 2\r\n\r\nok";

} // namespace nutmegrock::tests
