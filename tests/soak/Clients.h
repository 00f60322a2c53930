#pragma once

#include "core/Address.h"
#include "tests/adapter/standin/Documents.h"
#include "tests/soak/Ledger.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace nutmegrock::tests {

/// Clients beside one node: a thread for each group, and one that asks for
/// routes that come and go.
class Clients
{
public:
  /// Probes ask for one of aPaths. While aWork returns false, nothing is sent.
  Clients(Ledger& aLedger,
          std::size_t aNode,
          core::Address aCaller,
          std::vector<std::string> aPaths,
          std::function<bool()> aWork,
          std::uint64_t aSeed);
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;
  /// Waits until all have their answers.
  ~Clients();

private:
  using Random = std::mt19937_64;

  void RunNew();
  void RunKept();
  void RunPipelined();
  void RunLeavers();
  void RunProbes();
  /// Sends the requests one behind the other and reads their answers. Returns
  /// false if the connection cannot be used further.
  bool Exchange(standin::Connection& aConnection,
                const std::vector<standin::RequestSettings>& aRequests,
                std::vector<Request>& aRecords);
  bool ReadAnswer(standin::Connection& aConnection, Request& aRecord);
  standin::RequestSettings NewRequest(Request& aRecord,
                                      Kind aKind,
                                      Group aGroup,
                                      Random& aRandom);
  /// Opens a connection if there is none.
  bool Connect(std::unique_ptr<standin::Connection>& aConnection);
  void Pause(Random& aRandom) const;
  /// Waits until there is work. Returns false at the end.
  bool WaitForWork() const;

  Ledger& mLedger;
  const std::size_t mNode;
  const core::Address mCaller;
  const std::vector<std::string> mPaths;
  const std::function<bool()> mWork;
  const std::uint64_t mSeed;
  std::atomic<std::uint64_t> mCount{ 0 };
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mThreads;
};

} // namespace nutmegrock::tests
