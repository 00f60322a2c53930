#pragma once

#include "core/Address.h"
#include "tests/adapter/standin/BackendServer.h"
#include "tests/adapter/standin/Store.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>

namespace nutmegrock::tests {

/// One node as a real process on loopback addresses that no other test process
/// uses, with a store and a backend server of the test. Killed on destruction.
class Site
{
public:
  /// Starts the node with a limit on its file descriptors and waits until it
  /// serves requests.
  explicit Site(std::size_t aDescriptors);
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;
  ~Site();

  bool IsAlive() const;
  /// Highest resident memory so far, in kB.
  std::size_t PeakMemoryKb() const;
  /// Highest number of open file descriptors seen, sampled every 50 ms.
  std::size_t PeakDescriptors() const { return mPeakDescriptors; }
  /// Sends ordinary requests on new connections until one gets its 200, at most
  /// ten. Returns the statuses of the others as text, with "200" at the end.
  std::string AskCaller();
  /// The same on a listener of the node itself. Any complete response counts.
  std::string AskListener(const core::Address& aAddress,
                          const std::string& aPath);
  /// Last lines of the log.
  std::string LogTail() const;

  core::Address Nodes() const { return { mIp, 22000 }; }
  core::Address BackendServer() const { return { mIp, 22001 }; }
  core::Address Ready() const { return { mIp, 22002 }; }
  core::Address Caller() const { return { mIp, 22004 }; }
  core::Address Notices() const { return { mIp, 22006 }; }
  core::Address Store() const { return { mIp, 22009 }; }
  core::Address Metrics() const { return { mIp, 22030 }; }

private:
  void WriteSettings() const;
  void StartNode(std::size_t aDescriptors);
  void Watch();

  const std::string mIp;
  const std::string mFolder;
  pid_t mPid = 0;
  int mAsked = 0;
  std::atomic<std::size_t> mPeakDescriptors{ 0 };
  std::atomic<bool> mWatching{ true };
  std::unique_ptr<standin::Store> mStore;
  std::unique_ptr<standin::BackendServer> mServer;
  std::thread mWatch;
};

} // namespace nutmegrock::tests
