#include "tests/process/NodeProcess.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <spdlog/fmt/fmt.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace nutmegrock::tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 5 };

/// Calls aHolds until it returns true. Returns false if it does not in time.
template<class Condition>
bool
WaitUntil(Condition aHolds, milliseconds aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  while (!aHolds()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kStep);
  }
  return true;
}

bool
HasHttpResponse(const core::Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
  const timeval limit{ 0, 500'000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: n\r\n\r\n";
  char byte = 0;
  const bool responds =
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
    send(fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0 &&
    recv(fd, &byte, 1, 0) == 1;
  close(fd);
  return responds;
}

} // namespace

NodeProcess::NodeProcess()
{
  static int sNext = 0;
  const int pid = getpid();
  constexpr int kPerByte = 250;
  mIp = fmt::format(
    "127.{}.{}.{}", 20 + pid / kPerByte % 200, 1 + pid % kPerByte, ++sNext);
  std::string pattern =
    (std::filesystem::temp_directory_path() / "nutmegrock-process-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  mFolder = pattern;
  WriteSettings(SettingsText());
}

NodeProcess::~NodeProcess()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
NodeProcess::Start()
{
  const std::string path = SettingsPath();
  const std::string log = mFolder + "/log";
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(NODE_PROGRAM,
          NODE_PROGRAM,
          "gateway",
          "--settings",
          path.c_str(),
          nullptr);
    std::_Exit(127);
  }
}

void
NodeProcess::Signal(int aSignal) const
{
  kill(mPid, aSignal);
}

std::optional<int>
NodeProcess::WaitForEnd(milliseconds aTime)
{
  int status = 0;
  if (!WaitUntil([&] { return waitpid(mPid, &status, WNOHANG) == mPid; },
                 aTime)) {
    return std::nullopt;
  }
  mPid = 0;
  return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

bool
NodeProcess::Answers(milliseconds aTime) const
{
  return WaitUntil([this] { return HasHttpResponse(Ready()); }, aTime);
}

std::string
NodeProcess::SettingsText() const
{
  return fmt::format("node:\n  service: \"till\"\n  region: \"north\"\n"
                     "  availability_zone: \"north-a\"\n"
                     "  backend_server: \"{0}:20001\"\n"
                     "listen:\n  caller: \"{0}:20004\"\n"
                     "  nodes: \"{0}:20000\"\n  ready: \"{0}:20002\"\n"
                     "  notices: \"{0}:20006\"\n  peer: \"{0}:20020\"\n"
                     "  metrics: \"{0}:20030\"\nstore: \"http://{0}:20009\"\n",
                     mIp);
}

void
NodeProcess::WriteSettings(const std::string& aText) const
{
  std::ofstream(SettingsPath()) << aText;
}

std::string
NodeProcess::Log() const
{
  std::ifstream file(mFolder + "/log");
  return { std::istreambuf_iterator<char>(file), {} };
}

bool
NodeProcess::WaitForLog(const std::string& aText, milliseconds aTime) const
{
  return WaitUntil([&] { return Log().find(aText) != std::string::npos; },
                   aTime);
}

} // namespace nutmegrock::tests
