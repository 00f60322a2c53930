#include "tests/soak/Machine.h"

#include "tests/adapter/standin/Http.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace nutmegrock::tests {

namespace {

std::string
IpOf(int aNumber)
{
  constexpr int kPerByte = 250;
  const int pid = getpid();
  return fmt::format(
    "127.{}.{}.{}", 20 + pid / kPerByte % 200, 1 + pid % kPerByte, aNumber);
}

} // namespace

Machine::Machine(int aNumber, std::string aService, const std::string& aFolder)
  : mIp(IpOf(aNumber))
  , mService(std::move(aService))
  , mSettings(fmt::format("{}/node-{}.yaml", aFolder, aNumber))
  , mLog(fmt::format("{}/node-{}.log", aFolder, aNumber))
{
  WriteSettings();
}

Machine::~Machine()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
}

core::Address
Machine::Address(int aOffset) const
{
  constexpr int kFirstPort = 21000;
  return { mIp, static_cast<std::uint16_t>(kFirstPort + aOffset) };
}

void
Machine::Start()
{
  const char* chosen = std::getenv("SOAK_PROGRAM");
  const std::string program = chosen == nullptr ? NODE_PROGRAM : chosen;
  const int out =
    open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program.c_str(),
          program.c_str(),
          "gateway",
          "--settings",
          mSettings.c_str(),
          nullptr);
    std::_Exit(127);
  }
  close(out);
}

void
Machine::Signal(int aSignal) const
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

std::optional<int>
Machine::TakeEnd()
{
  int status = 0;
  if (mPid <= 0 || waitpid(mPid, &status, WNOHANG) != mPid) {
    return std::nullopt;
  }
  mPid = 0;
  return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

bool
Machine::HoldsSignals() const
{
  constexpr std::uint64_t kHup = std::uint64_t{ 1 } << (SIGHUP - 1);
  std::ifstream file(fmt::format("/proc/{}/status", mPid));
  std::string name;
  while (file >> name) {
    std::uint64_t mask = 0;
    if ((name == "SigBlk:" || name == "SigCgt:") && file >> std::hex >> mask &&
        (mask & kHup) != 0) {
      return true;
    }
  }
  return false;
}

void
Machine::WriteSettings(std::size_t aBytes) const
{
  const std::string text =
    fmt::format("node:\n  service: \"{0}\"\n  region: \"north\"\n"
                "  availability_zone: \"north-a\"\n"
                "  backend_server: \"{1}\"\n"
                "listen:\n  caller: \"{2}\"\n  nodes: \"{3}\"\n"
                "  ready: \"{4}\"\n  notices: \"{5}\"\n  peer: \"{6}\"\n"
                "  metrics: \"{7}\"\nstore: \"http://{8}\"\n"
                "bounds:\n  drain_ms: 2000\n  stop_s: 6\n",
                mService,
                BackendServer().ToString(),
                Caller().ToString(),
                Nodes().ToString(),
                Ready().ToString(),
                Notices().ToString(),
                Peer().ToString(),
                Metrics().ToString(),
                Store().ToString());
  std::ofstream(mSettings) << text.substr(0, aBytes);
}

std::string
Machine::LogTail() const
{
  constexpr std::ptrdiff_t kBytes = 1500;
  std::ifstream file(mLog);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto count = std::min(kBytes, static_cast<std::ptrdiff_t>(text.size()));
  return { text.end() - count, text.end() };
}

std::string
Machine::StatusField(const std::string& aName, double aSeconds) const
{
  const int fd = standin::Connection::Open(Metrics());
  if (fd < 0) {
    return {};
  }
  standin::Connection connection(fd);
  standin::Message answer;
  connection.Send("GET /status HTTP/1.1\r\nHost: n\r\n\r\n");
  if (connection.Read(answer, standin::Now() + aSeconds) !=
      standin::ReadEnd::Complete) {
    return {};
  }
  const std::size_t at = answer.mBody.find(aName);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t from = at + aName.size();
  return answer.mBody.substr(from, answer.mBody.find('\n', from) - from);
}

} // namespace nutmegrock::tests
