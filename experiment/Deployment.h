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
  /// Folder of the programs nutmegrock, standin_platform and standin_backend.
  std::string mProgramFolder;
  /// Profile document to publish.
  std::string mProfilesFile;
  unsigned mNodeThreads = 1;
  /// False: only nodes, which then serve no calls.
  bool mWithServers = true;
  std::chrono::milliseconds mColdStart{ 0 };
};

/// What the backend servers counted for one operation.
struct OperationCounts
{
  /// Requests that reached a backend server, over the whole chain.
  unsigned mAttempts = 0;
  /// The most runs at the servers of one service; a plan calls each service at
  /// most once for an operation, so two mean that work ran twice.
  unsigned mMaxRuns = 0;
  /// The most attempts at the servers of one service.
  unsigned mMaxAttempts = 0;
  unsigned mRuns = 0;
  double mSlotSeconds = 0.0;
};

using CountsByOperation = std::unordered_map<std::string, OperationCounts>;

/// The processes of one deployment on this machine: the stand-in platform and,
/// for each instance, a node and a stand-in backend server. Failures throw
/// ExperimentError. The destructor ends all processes.
class Deployment
{
public:
  /// Starts everything, publishes the profiles, and returns once each node can
  /// reach each service.
  explicit Deployment(DeploymentOptions aOptions);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment();

  const DeploymentSpec& Spec() const { return mOptions.mSpec; }
  std::vector<Instance>& Instances() { return mInstances; }
  const core::Address& Platform() const { return mPlatformAddress; }
  const std::string& Folder() const { return mFolder; }
  /// Caller listeners of the nodes that are running.
  std::vector<core::Address> Entries() const;
  std::vector<core::Address> ServersOf(const std::string& aService) const;

  /// Sets fault switches at all servers of a service, or of all services if
  /// the name is empty.
  void Control(const std::string& aService, const std::string& aJson);
  void ResetCounts();
  /// Sums over the backend servers that are running, of one service or, if the
  /// name is empty, of all.
  CountsByOperation Counts(const std::string& aService = "") const;
  /// Processor time of the nodes and of all processes, in seconds.
  double NodeCpuSeconds() const;
  double AllCpuSeconds() const;

  void StartNode(Instance& aInstance);
  void StartServer(Instance& aInstance);
  /// Waits until a node answers operators, which it does last of all.
  void WaitForNode(Instance& aInstance);
  /// Runs a program of the folder to its end; its exit code, or -1 at the
  /// limit. Output goes to aLog in Folder().
  int Run(const std::vector<std::string>& aCommand,
          const std::string& aLog,
          std::chrono::seconds aLimit);

private:
  std::string Program(const std::string& aName) const;
  core::Address NextAddress();
  void Prepare(const ServiceSpec& aService, std::size_t aIndex);
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
