#include "experiment/ControlClient.h"
#include "experiment/Interrupt.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <algorithm>
#include <charconv>

namespace nutmegrock::experiment {

namespace {

constexpr std::size_t kNodes = 200;
constexpr std::size_t kMaxPublications = 30;
constexpr double kTargetSeconds = 3.0;
constexpr std::chrono::seconds kActivationTimeout{ 20 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };

/// One service with many nodes. Nodes apply profiles without backend servers.
DeploymentSpec
ManyNodes(const DeploymentSpec& aSpec)
{
  DeploymentSpec spec = aSpec;
  spec.mServices.resize(1);
  spec.mServices[0].mServers = kNodes;
  return spec;
}

/// Returns the active profile version of a node; zero if it does not respond.
std::uint64_t
ActiveVersion(const core::Address& aAdmin)
{
  const auto result = Exchange(aAdmin,
                               boost::beast::http::verb::get,
                               "/v1/profiles",
                               "",
                               std::chrono::seconds(2));
  if (result.mError) {
    return 0;
  }
  const std::string tag(result.mResponse[boost::beast::http::field::etag]);
  std::uint64_t version = 0;
  const std::size_t first = tag.find_first_of("0123456789");
  if (first != std::string::npos) {
    std::from_chars(tag.data() + first, tag.data() + tag.size(), version);
  }
  return version;
}

/// Polls the nodes until all have reached a version.
class VersionWatcher
{
public:
  explicit VersionWatcher(Deployment& aDeployment)
    : mDeployment(aDeployment)
    , mMax(aDeployment.Instances().size(), 0)
  {
  }

  /// Returns true if all nodes reach aVersion within kActivationTimeout.
  bool WaitFor(std::uint64_t aVersion)
  {
    const auto end = core::Clock::now() + kActivationTimeout;
    while (core::Clock::now() < end) {
      bool all = true;
      for (std::size_t i = 0; i < mMax.size(); ++i) {
        if (mMax[i] < aVersion) {
          Read(i);
          all = all && mMax[i] >= aVersion;
        }
      }
      if (all) {
        return true;
      }
      Pause(kPollInterval);
    }
    return false;
  }

  /// Polls every node once more, to detect reverts to an older version.
  void CheckReverts()
  {
    for (std::size_t i = 0; i < mMax.size(); ++i) {
      Read(i);
    }
  }

  std::size_t Reverts() const { return mReverts; }

private:
  void Read(std::size_t aIndex)
  {
    const std::uint64_t version =
      ActiveVersion(mDeployment.Instances().at(aIndex).mAdmin);
    mReverts += version != 0 && version < mMax[aIndex] ? 1 : 0;
    mMax[aIndex] = std::max(mMax[aIndex], version);
  }

  Deployment& mDeployment;
  std::vector<std::uint64_t> mMax;
  std::size_t mReverts = 0;
};

} // namespace

FigureTable
RunProfiles(const RunContext& aContext)
{
  DeploymentOptions options = aContext.Protected();
  options.mSpec = ManyNodes(aContext.mSpec);
  options.mWithServers = false;
  options.mNodeThreads = 1;
  Deployment deployment(options);
  VersionWatcher watch(deployment);
  watch.WaitFor(1);
  std::vector<double> seconds;
  std::size_t missed = 0;
  const auto end = core::Clock::now() + aContext.mTimeLimit;
  for (std::uint64_t version = 1;
       version <= kMaxPublications && core::Clock::now() < end;
       ++version) {
    const auto& admin =
      deployment.Instances().at(version % deployment.Instances().size()).mAdmin;
    const int code = deployment.Run({ "nutmegrock",
                                      "profile",
                                      "publish",
                                      aContext.mProfilesFile,
                                      "--admin",
                                      admin.ToString(),
                                      "--expect",
                                      std::to_string(version),
                                      "--yes" },
                                    "publish",
                                    std::chrono::seconds(10));
    if (code != 0) {
      throw ExperimentError("publication failed with exit code " +
                            std::to_string(code));
    }
    const auto accepted = core::Clock::now();
    missed += watch.WaitFor(version + 1) ? 0 : 1;
    seconds.push_back(
      std::chrono::duration<double>(core::Clock::now() - accepted).count());
    watch.CheckReverts();
  }
  std::sort(seconds.begin(), seconds.end());
  FigureTable table = aContext.Table("profiles");
  table.Add("nodes", static_cast<double>(kNodes), "nodes");
  table.Add(
    "publications", static_cast<double>(seconds.size()), "publications");
  const auto quantile = [&seconds](double aShare) {
    const auto index =
      static_cast<std::size_t>(aShare * static_cast<double>(seconds.size()));
    return seconds.at(std::min(index, seconds.size() - 1));
  };
  table.Add("in_force_p50", quantile(0.5), "s");
  table.Add("in_force_p99",
            quantile(0.99),
            "s",
            Target{ Comparison::AtMost, kTargetSeconds });
  const Target none{ Comparison::AtMost, 0.0 };
  table.Add("not_in_force", static_cast<double>(missed), "publications", none);
  table.Add("reverts", static_cast<double>(watch.Reverts()), "versions", none);
  return table;
}

} // namespace nutmegrock::experiment
