#include "experiment/Interrupt.h"
#include "experiment/nutmegrock_experiment/Demo.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <cstdio>
#include <filesystem>
#include <sys/resource.h>
#include <tclap/CmdLine.h>

namespace {

using namespace nutmegrock;
using namespace nutmegrock::experiment;

void
List()
{
  for (const NamedExperiment& one : AllExperiments()) {
    std::printf("%-14s%s\n", one.mName.c_str(), one.mSummary.c_str());
  }
}

int
RunNamed(const std::string& aName, const RunContext& aContext, bool aJson)
{
  for (const NamedExperiment& one : AllExperiments()) {
    if (one.mName == aName) {
      const FigureTable table = one.mRun(aContext);
      std::printf("%s\n", (aJson ? table.Json() : table.ToString()).c_str());
      return 0;
    }
  }
  std::fprintf(stderr, "no experiment %s; try list\n", aName.c_str());
  return 2;
}

/// Raises the limit of open files for the thousands of connections in an
/// overload; child processes inherit it.
void
RaiseOpenFileLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

int
Execute(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Runs the experiments and the demo of nutmegrock.");
  TCLAP::UnlabeledValueArg<std::string> name(
    "name", "experiment, list or demo", true, "", "NAME", line);
  TCLAP::ValueArg<std::string> deployment(
    "", "deployment", "haufiku or daugava", false, "haufiku", "NAME", line);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "seed of arrivals and service times", false, 1, "N", line);
  TCLAP::ValueArg<unsigned> seconds(
    "", "seconds", "time limit of the experiment", false, 120, "N", line);
  TCLAP::ValueArg<std::string> profiles("",
                                        "profiles",
                                        "folder of the profile documents",
                                        false,
                                        "examples",
                                        "FOLDER",
                                        line);
  TCLAP::SwitchArg json("", "json", "print one JSON object", line);
  line.parse(aCount, aArguments);
  if (name.getValue() == "list") {
    List();
    return 0;
  }
  const auto spec = DeploymentSpec::Named(deployment.getValue());
  if (!spec) {
    std::fprintf(stderr, "%s\n", spec.error().mMessage.c_str());
    return 2;
  }
  RunContext context;
  context.mSpec = *spec;
  context.mSeed = seed.getValue();
  context.mTimeLimit = std::chrono::seconds(seconds.getValue());
  context.mProgramFolder =
    std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  context.mProfilesFile =
    profiles.getValue() + "/" + spec->mName + "-profiles.yaml";
  if (name.getValue() == "demo") {
    RunDemo(context);
    return 0;
  }
  return RunNamed(name.getValue(), context, json.getValue());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  InstallInterruptHandler();
  RaiseOpenFileLimit();
  try {
    return Execute(aCount, aArguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
