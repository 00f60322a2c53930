#include "experiment/Deployment.h"

#include "core/Hash.h"
#include "experiment/ControlClient.h"
#include "experiment/Interrupt.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace nutmegrock::experiment {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 50 };
constexpr std::chrono::seconds kStartTimeout{ 30 };
// Allows for a planned stop, which finishes calls in flight.
constexpr std::chrono::seconds kStopTimeout{ 3 };
constexpr std::chrono::seconds kPublishTimeout{ 10 };

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText;
  if (!file.flush()) {
    throw ExperimentError("cannot write " + aPath);
  }
}

std::string
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "nutmegrock-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw ExperimentError("cannot create a temporary folder");
  }
  return name;
}

/// Polls a condition. Returns false if it does not hold within aTimeout.
bool
WaitFor(const std::function<bool()>& aCondition, core::Duration aTimeout)
{
  const auto end = core::Clock::now() + aTimeout;
  while (!aCondition()) {
    if (core::Clock::now() >= end) {
      return false;
    }
    Pause(kPollInterval);
  }
  return true;
}

} // namespace

Deployment::Deployment(DeploymentOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPorts(mOptions.mSeed * 1000003 + static_cast<std::uint64_t>(::getpid()))
  , mFolder(MakeFolder())
{
  try {
    WriteFile(mFolder + "/peer.secret",
              std::to_string(core::HashOf(mFolder)) + "\n");
    StartPlatform();
    for (const ServiceSpec& service : mOptions.mSpec.mServices) {
      for (std::size_t i = 0; i < service.mServers; ++i) {
        AddInstance(service, i);
      }
    }
    for (Instance& instance : mInstances) {
      StartNode(instance);
    }
    for (Instance& instance : mInstances) {
      WaitForNode(instance);
      if (mOptions.mWithServers) {
        StartServer(instance);
      }
    }
    Publish();
    if (mOptions.mWithServers) {
      WaitUntilReady();
    }
    mReady = true;
  } catch (...) {
    // The destructor does not run if the constructor throws.
    Stop();
    throw;
  }
}

Deployment::~Deployment()
{
  Stop();
}

void
Deployment::Stop()
{
  const auto for_each_process = [this](auto aAction) {
    for (Instance& instance : mInstances) {
      for (auto* process : { &instance.mServer, &instance.mNode }) {
        if (process->has_value()) {
          aAction(process->value());
        }
      }
    }
    if (mPlatform) {
      aAction(*mPlatform);
    }
  };
  for_each_process([](const ChildProcess& aProcess) {
    aProcess.Signal(SIGCONT);
    aProcess.Signal(SIGTERM);
  });
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  for_each_process([end](ChildProcess& aProcess) {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (!aProcess.Wait(std::max(remaining, std::chrono::milliseconds(0)))) {
      aProcess.Kill();
    }
  });
  if (mReady) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  } else {
    std::fprintf(stderr, "the logs are in %s\n", mFolder.c_str());
  }
}

std::string
Deployment::Program(const std::string& aName) const
{
  return mOptions.mProgramFolder + "/" + aName;
}

core::Address
Deployment::NextAddress()
{
  const auto address = mPorts.Next();
  if (!address) {
    throw ExperimentError(address.error().mMessage);
  }
  return *address;
}

ChildProcess
Deployment::StartProcess(const std::vector<std::string>& aCommand,
                         const std::string& aName)
{
  auto process = ChildProcess::Start(aCommand, mFolder + "/" + aName + ".log");
  if (!process) {
    throw ExperimentError(process.error().mMessage);
  }
  return std::move(*process);
}

void
Deployment::StartPlatform()
{
  mPlatformAddress = NextAddress();
  mPlatform = StartProcess(
    { Program("standin_platform"), "--listen", mPlatformAddress.ToString() },
    "platform");
  if (!WaitFor([this] { return !Get(mPlatformAddress, "/counts").empty(); },
               kStartTimeout)) {
    throw ExperimentError("the stand-in platform does not respond");
  }
}

void
Deployment::AddInstance(const ServiceSpec& aService, std::size_t aIndex)
{
  Instance instance;
  instance.mName = aService.mName + "-" + std::to_string(aIndex + 1);
  instance.mService = aService.mName;
  instance.mZone =
    mOptions.mSpec.mZones.at(aIndex % mOptions.mSpec.mZones.size());
  instance.mServerAddress = NextAddress();
  instance.mCaller = NextAddress();
  instance.mBackend = NextAddress();
  instance.mPeer = NextAddress();
  instance.mAdmin = NextAddress();
  const std::string settings = mFolder + "/" + instance.mName + ".yaml";
  WriteFile(settings, NodeSettings(instance, aService));
  instance.mNodeCommand = {
    Program("nutmegrock"), "node", "--settings", settings
  };
  instance.mServerCommand = { Program("standin_backend"),
                              "--listen",
                              instance.mServerAddress.ToString(),
                              "--node",
                              instance.mBackend.ToString(),
                              "--service",
                              aService.mName,
                              "--slots",
                              std::to_string(aService.mSlots),
                              "--connections",
                              std::to_string(aService.mConnections),
                              "--mean-ms",
                              std::to_string(aService.mMeanSeconds * 1000.0),
                              "--seed",
                              std::to_string(mOptions.mSeed * 1000 +
                                             mInstances.size()),
                              "--cold-ms",
                              std::to_string(mOptions.mColdStart.count()) };
  mInstances.push_back(std::move(instance));
}

std::string
Deployment::NodeSettings(const Instance& aInstance,
                         const ServiceSpec& aService) const
{
  const std::string platform = "http://" + mPlatformAddress.ToString();
  std::ostringstream text;
  text << "node:\n  service: " << aInstance.mService
       << "\n  region: " << mOptions.mSpec.mRegion
       << "\n  availability_zone: " << aInstance.mZone
       << "\n  backend_server: " << aInstance.mServerAddress.ToString()
       << "\n  slots: " << aService.mSlots
       << "\n  connections: " << aService.mConnections
       << "\n  threads: " << mOptions.mNodeThreads
       << "\nlisten:\n  caller: " << aInstance.mCaller.ToString()
       << "\n  backend: " << aInstance.mBackend.ToString()
       << "\n  peer: " << aInstance.mPeer.ToString()
       << "\n  admin: " << aInstance.mAdmin.ToString()
       << "\nplatform:\n  table_service: " << platform
       << "\n  object_store: " << platform << "\nsecret_file: " << mFolder
       << "/peer.secret"
       << "\nlog:\n  level: info\noverload:\n  enabled: "
       << (mOptions.mOverloadEnabled ? "true" : "false")
       << "\n  unbounded_retries: " << mOptions.mUnboundedRetries << "\n";
  return text.str();
}

void
Deployment::StartNode(Instance& aInstance)
{
  aInstance.mNode =
    StartProcess(aInstance.mNodeCommand, aInstance.mName + "-node");
}

void
Deployment::WaitForNode(Instance& aInstance)
{
  const auto responds = [&aInstance] {
    const auto code =
      aInstance.mNode.value().Wait(std::chrono::milliseconds(0));
    if (code) {
      throw ExperimentError("the node of " + aInstance.mName +
                            " ended with exit code " + std::to_string(*code));
    }
    return !Get(aInstance.mAdmin, "/v1/status").empty();
  };
  if (!WaitFor(responds, kStartTimeout)) {
    throw ExperimentError("the node of " + aInstance.mName +
                          " does not respond");
  }
}

void
Deployment::StartServer(Instance& aInstance)
{
  aInstance.mServer = StartProcess(aInstance.mServerCommand, aInstance.mName);
}

int
Deployment::Run(const std::vector<std::string>& aCommand,
                const std::string& aLog,
                std::chrono::seconds aTimeout)
{
  std::vector<std::string> command = aCommand;
  command.front() = Program(command.front());
  auto process = StartProcess(command, aLog);
  return process.Wait(aTimeout).value_or(-1);
}

void
Deployment::Publish()
{
  const auto publish = [this] {
    return Run({ "nutmegrock",
                 "profile",
                 "publish",
                 mOptions.mProfilesFile,
                 "--admin",
                 mInstances.front().mAdmin.ToString(),
                 "--expect",
                 "0",
                 "--yes" },
               "publish",
               kPublishTimeout) == 0;
  };
  if (!WaitFor(publish, kStartTimeout)) {
    throw ExperimentError("cannot publish " + mOptions.mProfilesFile);
  }
}

void
Deployment::WaitUntilReady()
{
  for (const Instance& instance : mInstances) {
    for (const ServiceSpec& service : mOptions.mSpec.mServices) {
      const auto reachable = [&] {
        const auto result = Exchange(instance.mCaller,
                                     http::verb::get,
                                     "/call/" + service.mName + "/probe",
                                     "",
                                     std::chrono::seconds(2),
                                     "probe");
        // Once reachable, a service whose default profile requires a key
        // responds with 428.
        return !result.mError && (result.mResponse.result_int() == 200 ||
                                  result.mResponse.result_int() == 428);
      };
      if (!WaitFor(reachable, kStartTimeout)) {
        throw ExperimentError(service.mName + " cannot be reached through " +
                              instance.mName);
      }
    }
  }
  ResetCounts();
}

std::vector<core::Address>
Deployment::Entries() const
{
  std::vector<core::Address> entries;
  for (const Instance& instance : mInstances) {
    if (instance.mNode) {
      entries.push_back(instance.mCaller);
    }
  }
  return entries;
}

std::vector<core::Address>
Deployment::ServersOf(const std::string& aService) const
{
  std::vector<core::Address> servers;
  for (const Instance& instance : mInstances) {
    if (instance.mServer &&
        (aService.empty() || instance.mService == aService)) {
      servers.push_back(instance.mServerAddress);
    }
  }
  return servers;
}

void
Deployment::SetFaults(const std::string& aService, const std::string& aJson)
{
  for (const core::Address& server : ServersOf(aService)) {
    if (!Post(server, "/control", aJson)) {
      throw ExperimentError("cannot set faults at " + server.ToString());
    }
  }
}

void
Deployment::ResetCounts()
{
  for (const core::Address& server : ServersOf("")) {
    Post(server, "/control/reset", "");
  }
}

CountsByOperation
Deployment::Counts(const std::string& aService) const
{
  CountsByOperation counts;
  for (const ServiceSpec& service : mOptions.mSpec.mServices) {
    if (!aService.empty() && service.mName != aService) {
      continue;
    }
    CountsByOperation of_service;
    for (const core::Address& server : ServersOf(service.mName)) {
      std::istringstream lines(Get(server, "/counts/operations"));
      std::string line;
      while (std::getline(lines, line)) {
        std::istringstream fields(line);
        std::string operation;
        unsigned attempts = 0;
        unsigned runs = 0;
        unsigned completed = 0;
        double slot_micros = 0.0;
        fields >> operation >> attempts >> runs >> completed >> slot_micros;
        OperationCounts& sum = counts[operation];
        sum.mAttempts += attempts;
        sum.mRuns += runs;
        sum.mSlotSeconds += slot_micros / 1e6;
        of_service[operation].mAttempts += attempts;
        of_service[operation].mRuns += runs;
      }
    }
    for (const auto& [operation, of_one] : of_service) {
      OperationCounts& sum = counts[operation];
      sum.mMaxRuns = std::max(sum.mMaxRuns, of_one.mRuns);
      sum.mMaxAttempts = std::max(sum.mMaxAttempts, of_one.mAttempts);
    }
  }
  return counts;
}

double
Deployment::NodeCpuSeconds() const
{
  double sum = 0.0;
  for (const Instance& instance : mInstances) {
    sum += instance.mNode ? instance.mNode->CpuSeconds() : 0.0;
  }
  return sum;
}

double
Deployment::AllCpuSeconds() const
{
  double sum = NodeCpuSeconds() + (mPlatform ? mPlatform->CpuSeconds() : 0.0);
  for (const Instance& instance : mInstances) {
    sum += instance.mServer ? instance.mServer->CpuSeconds() : 0.0;
  }
  return sum;
}

} // namespace nutmegrock::experiment
