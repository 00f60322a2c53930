#include "experiment/ChildProcess.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace nutmegrock::experiment {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 5 };
constexpr int kSignalBase = 128;

int
ExitCode(int aStatus)
{
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus)
                            : kSignalBase + WTERMSIG(aStatus);
}

/// Runs in the child between fork and exec, where only async-signal-safe calls
/// are allowed.
[[noreturn]] void
Execute(char* const* aArguments, int aLog, pid_t aParent)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != aParent) {
    ::_exit(kSignalBase - 1);
  }
  ::dup2(aLog, STDOUT_FILENO);
  ::dup2(aLog, STDERR_FILENO);
  ::execv(aArguments[0], aArguments);
  ::_exit(kSignalBase - 1);
}

} // namespace

core::Expected<ChildProcess>
ChildProcess::Start(const std::vector<std::string>& aCommand,
                    const std::string& aLogFile)
{
  std::vector<std::string> copy = aCommand;
  std::vector<char*> arguments;
  arguments.reserve(copy.size() + 1);
  for (std::string& argument : copy) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int log =
    ::open(aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) {
    return core::Fail(core::ErrorKind::Internal, "cannot open " + aLogFile);
  }
  const pid_t parent = ::getpid();
  const pid_t id = ::fork();
  if (id == 0) {
    Execute(arguments.data(), log, parent);
  }
  ::close(log);
  if (id < 0) {
    return core::Fail(core::ErrorKind::Internal,
                      "cannot start " + aCommand.front());
  }
  return ChildProcess(id);
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : mId(std::exchange(aOther.mId, -1))
  , mExitCode(std::exchange(aOther.mExitCode, std::nullopt))
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  std::swap(mId, aOther.mId);
  std::swap(mExitCode, aOther.mExitCode);
  return *this;
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void
ChildProcess::Signal(int aSignal) const
{
  if (mId > 0 && !mExitCode) {
    ::kill(mId, aSignal);
  }
}

std::optional<int>
ChildProcess::Wait(std::chrono::milliseconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (mId > 0 && !mExitCode) {
    int status = 0;
    if (::waitpid(mId, &status, WNOHANG) == mId) {
      mExitCode = ExitCode(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return mExitCode;
}

void
ChildProcess::Kill()
{
  if (mId > 0 && !mExitCode) {
    ::kill(mId, SIGKILL);
    int status = 0;
    ::waitpid(mId, &status, 0);
    mExitCode = ExitCode(status);
  }
}

double
ChildProcess::CpuSeconds() const
{
  std::ifstream file("/proc/" + std::to_string(mId) + "/stat");
  std::string line;
  std::getline(file, line);
  const auto name_end = line.rfind(')');
  if (name_end == std::string::npos) {
    return 0.0;
  }
  // Field 3 follows the name; fields 14 and 15 are the user and system time in
  // clock ticks.
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int i = 3; i < 14; ++i) {
    fields >> skipped;
  }
  double user = 0.0;
  double system = 0.0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::uint64_t
ChildProcess::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(mId) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace nutmegrock::experiment
