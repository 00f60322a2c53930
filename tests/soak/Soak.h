#pragma once

#include "tests/adapter/standin/BackendServer.h"
#include "tests/adapter/standin/Documents.h"
#include "tests/adapter/standin/Store.h"
#include "tests/soak/Clients.h"
#include "tests/soak/Ledger.h"
#include "tests/soak/Machine.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace nutmegrock::tests {

struct SoakSettings
{
  std::uint64_t mSeed = 1;
  double mSeconds = 20;
  std::size_t mNodes = 5;
  /// Names of disturbances, or "none"; all if empty.
  std::vector<std::string> mFaults;
};

/// One run: nodes as real processes with stand-ins for everything around them,
/// clients, and disturbances that are drawn from a seed.
class Soak
{
public:
  explicit Soak(SoakSettings aSettings);
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;
  ~Soak();

  /// Returns the rules that were broken. Logs are kept if there are any.
  std::vector<Violation> Run();
  std::string Summary() const;
  std::string LogTail(std::size_t aNode) const;
  const std::string& Folder() const { return mFolder; }

  /// Names of all disturbances.
  static std::vector<std::string> Faults();

private:
  enum class Phase
  {
    Running,
    /// A kill or a planned stop was sent.
    Killed,
    Stopping,
    Ended
  };
  struct Node
  {
    std::unique_ptr<Machine> mMachine;
    std::unique_ptr<standin::BackendServer> mBackendServer;
    std::atomic<bool> mServerBusy{ false };
    std::atomic<double> mAnsweredAt{ -1 };
    std::atomic<double> mReadyAt{ -1 };
    Phase mPhase = Phase::Ended;
    /// Since when it is disturbed.
    std::optional<double> mDisturbedSince;
    double mStartedAt = 0;
    /// From when on the process is past dynamic linking at the latest.
    double mLinkedAt = 0;
    double mSignalledAt = 0;
    double mRestartAfter = 0;
    bool mHoldAddress = false;
    bool mStartChecked = false;
    int mServers = 0;
  };
  struct Fault
  {
    const char* mName;
    void (Soak::*mRun)();
    /// Happens only in storms.
    bool mDisturbs;
  };
  static const std::vector<Fault>& AllFaults();

  double Draw(double aFrom, double aTo);
  std::size_t Draw(std::size_t aCount);
  void At(double aTime, std::function<void()> aAction);
  /// Runs in a thread of its own, on a node whose server nobody else changes.
  void WithServer(std::size_t aNode,
                  bool aDisturbs,
                  std::function<void(Node&)> aTask);
  void Poll();
  void PollNode(std::size_t aNode);
  void TakeEnd(std::size_t aNode, int aEnd);
  void Start(std::size_t aNode);
  void StartServer(std::size_t aNode);
  void BeginDisturbance(std::size_t aNode);
  void EndDisturbance(std::size_t aNode);
  /// Disturbances of the store as it answers all nodes, or one. One that is
  /// open when the run ends lasts until then.
  void OpenSpan(Timeline& aTimeline);
  void CloseSpan(Timeline& aTimeline, double aUntil);
  void Stop(std::size_t aNode, int aSignal);
  void Report(std::size_t aNode, const std::string& aText);
  void PauseProcess(std::size_t aNode);
  void ResumeProcess(std::size_t aNode);
  /// Returns false if a signal would reach the process before its own code.
  bool HandlesSignals(std::size_t aNode) const;
  /// A node that runs undisturbed, if the drawn one does.
  std::optional<std::size_t> DrawNode();
  bool WaitForNodes();
  void Disturb();
  void WatchReadiness();
  void DisturbStore(standin::Store::State aState);
  void WriteDocument();
  /// Adds a route that only this and later versions have.
  void MarkVersion();
  /// Asks each node for the marked route once the version has to be in force.
  void CheckVersion();
  void ChangeRoutes();
  /// Number of nodes that fail together, and which of them.
  std::vector<std::size_t> DrawGroup();
  std::vector<standin::RouteSettings> Routes() const;

  void Terminate();
  void Kill();
  void KillAll();
  void Hup();
  void EarlyHup();
  void EarlyTerminate();
  void Pause();
  void BusyAddress();
  void HalfSettings();
  void Documents();
  void ManyDocuments();
  void BadDocuments();
  void StoreDown() { DisturbStore(standin::Store::State::Down); }
  void StoreUnavailable() { DisturbStore(standin::Store::State::Unavailable); }
  void StoreBusy() { DisturbStore(standin::Store::State::Busy); }
  void StoreSlow() { DisturbStore(standin::Store::State::Slow); }
  void StoreSilent();
  void StoreRefuses();
  void SilentGroup();
  void ReplaceServer();
  void DrainServer();
  void SlowServers();
  void BadHeartbeats();
  void LateHeartbeats();

  const SoakSettings mSettings;
  std::mt19937_64 mRandom;
  std::string mFolder;
  Ledger mLedger;
  std::vector<Fault> mFaults;
  std::unique_ptr<standin::Store> mStore;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::vector<std::unique_ptr<Clients>> mClients;
  std::multimap<double, std::function<void()>> mActions;
  std::vector<std::future<void>> mTasks;
  std::map<std::string, std::vector<std::string>> mExtraRoutes;
  std::map<Timeline*, double> mOpenSpans;
  std::size_t mManyRoutes = 0;
  /// Path that the newest version has added.
  std::string mMark;
  int mVersion = 7;
  bool mIsStorm = false;
  bool mStoreDisturbed = false;
  bool mIsOver = false;
  double mPolledAt = 0;
  double mLongestLag = 0;
  std::atomic<bool> mWatching{ true };
  std::thread mWatch;
};

} // namespace nutmegrock::tests
