#pragma once

#include "tests/adapter/standin/Http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace nutmegrock::tests::standin {

/// A backend server beside a node. Queues what exceeds its slots, and drops a
/// request whose connection closes. A request with the path /nested/ makes a
/// call of its own through the node, and one with /large/ gets 4 MB.
class BackendServer
{
public:
  struct Settings
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    core::Address mAddress;
    /// Where it sends its heartbeats and its calls.
    core::Address mNotices;
    core::Address mCaller;
    int mSlots = 16;
    double mHeartbeatSeconds = 0.5;
  };
  /// Called with the request's id, service and time when work on it begins.
  using OnRun = std::function<
    void(const std::string& aId, const std::string& aService, double aAt)>;

  BackendServer(Settings aSettings, OnRun aOnRun);
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;
  /// Ends like a crash: connections are closed, nothing is said.
  ~BackendServer();

  /// Seconds of work on each request.
  void SetWork(double aSeconds) { mWork = aSeconds; }
  /// The health check fails and heartbeats say that it leaves.
  void Drain();
  /// Says that it is gone, for as long as nobody acknowledges, once a second
  /// and five times at most.
  void Deregister();
  /// Sends a heartbeat again that was due the time before.
  void SendLateHeartbeat();
  /// Sends what another writer might send: damaged or incomplete heartbeats.
  void SendBadHeartbeats() const;

private:
  bool Answer(const Message& aRequest, Connection& aConnection);
  /// Returns false if the caller leaves first.
  bool WaitForSlot(const Connection& aConnection);
  bool Work(double aSeconds, const Connection& aConnection);
  void FreeSlot();
  int Call(const Message& aRequest) const;
  std::string Lines(const std::string& aId) const;
  std::string Post(const std::string& aCall, const std::string& aBody) const;
  std::string HeartbeatBody(std::uint64_t aSequence) const;
  void Beat();

  const Settings mSettings;
  const OnRun mOnRun;
  const std::int64_t mBorn;
  std::atomic<double> mWork{ 0.01 };
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mBeating{ true };
  std::atomic<bool> mStopping{ false };
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mWaiting{ 0 };
  std::mutex mMutex;
  std::condition_variable mFree;
  std::unique_ptr<HttpServer> mServer;
  std::thread mBeats;
};

} // namespace nutmegrock::tests::standin
