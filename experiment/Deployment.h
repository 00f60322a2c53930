#pragma once

#include "experiment/DeploymentSpec.h"
#include "experiment/Instance.h"
#include "experiment/PortAllocator.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::experiment {

struct DeploymentOptions
{
  DeploymentSpec mSpec;
  std::uint64_t mSeed = 1;
  bool mOverloadEnabled = true;
  unsigned mUnboundedRetries = 0;
  /// Folder with the programs nutmegrock, standin_platform and
  /// standin_backend.
  std::string mProgramFolder;
  /// Profile document to publish.
  std::string mProfilesFile;
  unsigned mNodeThreads = 1;
  /// If false, only nodes are started; they serve no calls.
  bool mWithServers = true;
  std::chrono::milliseconds mColdStart{ 0 };
};

/// Counts of the backend servers for one operation.
struct OperationCounts
{
  /// Requests that reached a backend server, over the whole call chain.
  unsigned mAttempts = 0;
  /// Maximum runs at the servers of any one service. A plan calls each service
  /// at most once per operation, so 2 or more means that work ran twice.
  unsigned mMaxRuns = 0;
  /// Maximum attempts at the servers of any one service.
  unsigned mMaxAttempts = 0;
  unsigned mRuns = 0;
  double mSlotSeconds = 0.0;
};

using CountsByOperation = std::unordered_map<std::string, OperationCounts>;

/// The processes of one deployment on the local machine: the stand-in platform
/// and, for each instance, a node and a stand-in backend server. Functions
/// throw ExperimentError on failure. The destructor ends all processes.
class Deployment
{
public:
  /// Starts all processes, publishes the profiles, and returns once each node
  /// can reach each service.
  explicit Deployment(DeploymentOptions aOptions);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment();

  const DeploymentSpec& Spec() const { return mOptions.mSpec; }
  std::vector<Instance>& Instances() { return mInstances; }
  const core::Address& Platform() const { return mPlatformAddress; }
  const std::string& Folder() const { return mFolder; }
  /// Caller listener addresses of the running nodes.
  std::vector<core::Address> Entries() const;
  std::vector<core::Address> ServersOf(const std::string& aService) const;

  /// Sets fault switches on all servers of a service, or of all services if
  /// aService is empty.
  void SetFaults(const std::string& aService, const std::string& aJson);
  void ResetCounts();
  /// Sums the counts of the running backend servers of a service, or of all
  /// services if aService is empty.
  CountsByOperation Counts(const std::string& aService = "") const;
  /// CPU time of the nodes and of all processes, in seconds.
  double NodeCpuSeconds() const;
  double AllCpuSeconds() const;

  void StartNode(Instance& aInstance);
  void StartServer(Instance& aInstance);
  /// Waits until a node responds on its admin listener, which it starts last.
  void WaitForNode(Instance& aInstance);
  /// Runs a program of the program folder until it ends. Returns its exit code,
  /// or -1 after aTimeout. Its output goes to aLog in Folder().
  int Run(const std::vector<std::string>& aCommand,
          const std::string& aLog,
          std::chrono::seconds aTimeout);

private:
  std::string Program(const std::string& aName) const;
  core::Address NextAddress();
  void AddInstance(const ServiceSpec& aService, std::size_t aIndex);
  std::string NodeSettings(const Instance& aInstance,
                           const ServiceSpec& aService) const;
  void StartPlatform();
  void Publish();
  void WaitUntilReady();
  ChildProcess StartProcess(const std::vector<std::string>& aCommand,
                            const std::string& aName);
  void Stop();

  DeploymentOptions mOptions;
  PortAllocator mPorts;
  std::string mFolder;
  core::Address mPlatformAddress;
  std::optional<ChildProcess> mPlatform;
  std::vector<Instance> mInstances;
  bool mReady = false;
};

} // namespace nutmegrock::experiment
