#include "tests/clients/Site.h"

#include "tests/adapter/standin/Documents.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spdlog/fmt/fmt.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace nutmegrock::tests {

namespace {

using standin::Now;
using standin::SleepFor;

constexpr int kAttempts = 10;
constexpr double kAttemptPause = 0.2;
constexpr double kAttemptSeconds = 3;
constexpr double kStartSeconds = 20;
/// Slots of the backend server, and seconds of work on a request.
constexpr int kSlots = 4;
constexpr double kWork = 0.02;

std::string
NextIp()
{
  static int sNext = 0;
  constexpr int kPerByte = 250;
  const int pid = getpid();
  return fmt::format(
    "127.{}.{}.{}", 20 + pid / kPerByte % 200, 1 + pid % kPerByte, ++sNext);
}

std::string
NewFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "nutmegrock-clients-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return pattern;
}

} // namespace

Site::Site(std::size_t aDescriptors)
  : mIp(NextIp())
  , mFolder(NewFolder())
  , mStore(std::make_unique<standin::Store>())
{
  mStore->Listen(Store());
  mStore->Write("op",
                "config",
                standin::DocumentText(7,
                                      { { "/item/", "safe", { "till" } },
                                        { "/photo/", "upload", { "till" } },
                                        { "/large/", "safe", { "till" } } }));
  WriteSettings();
  StartNode(aDescriptors);
  standin::BackendServer::Settings server;
  server.mId = "till-1";
  server.mService = "till";
  server.mZone = "north-a";
  server.mAddress = BackendServer();
  server.mNotices = Notices();
  server.mCaller = Caller();
  server.mSlots = kSlots;
  mServer = std::make_unique<standin::BackendServer>(
    server, [](const std::string&, const std::string&, double) {});
  mServer->SetWork(kWork);
  mWatch = std::thread([this] { Watch(); });
  const double until = Now() + kStartSeconds;
  std::string answer;
  while (!answer.ends_with("200") && Now() < until) {
    answer = AskCaller();
  }
  REQUIRE_MESSAGE(answer.ends_with("200"), LogTail());
}

Site::~Site()
{
  mWatching = false;
  if (mWatch.joinable()) {
    mWatch.join();
  }
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
  mServer.reset();
  mStore.reset();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
Site::WriteSettings() const
{
  std::ofstream(mFolder + "/node.yaml")
    << fmt::format("node:\n  service: \"till\"\n  region: \"north\"\n"
                   "  availability_zone: \"north-a\"\n"
                   "  backend_server: \"{0}:22001\"\n"
                   "listen:\n  caller: \"{0}:22004\"\n"
                   "  nodes: \"{0}:22000\"\n  ready: \"{0}:22002\"\n"
                   "  notices: \"{0}:22006\"\n  peer: \"{0}:22020\"\n"
                   "  metrics: \"{0}:22030\"\nstore: \"http://{0}:22009\"\n",
                   mIp);
}

void
Site::StartNode(std::size_t aDescriptors)
{
  const std::string settings = mFolder + "/node.yaml";
  const std::string log = mFolder + "/log";
  const int out =
    open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit limit{ aDescriptors, aDescriptors };
    setrlimit(RLIMIT_NOFILE, &limit);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(NODE_PROGRAM,
          NODE_PROGRAM,
          "gateway",
          "--settings",
          settings.c_str(),
          nullptr);
    std::_Exit(127);
  }
  close(out);
}

void
Site::Watch()
{
  constexpr double kStep = 0.05;
  while (mWatching) {
    std::error_code code;
    const std::filesystem::directory_iterator files(
      fmt::format("/proc/{}/fd", mPid), code);
    if (!code) {
      const auto open = static_cast<std::size_t>(
        std::distance(begin(files), std::filesystem::directory_iterator()));
      mPeakDescriptors = std::max(mPeakDescriptors.load(), open);
    }
    SleepFor(kStep);
  }
}

bool
Site::IsAlive() const
{
  siginfo_t info{};
  return waitid(P_PID,
                static_cast<id_t>(mPid),
                &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

std::size_t
Site::PeakMemoryKb() const
{
  std::ifstream file(fmt::format("/proc/{}/status", mPid));
  std::string name;
  while (file >> name) {
    std::size_t size = 0;
    if (name == "VmHWM:" && file >> size) {
      return size;
    }
  }
  return 0;
}

std::string
Site::AskCaller()
{
  std::string statuses;
  for (int i = 0; i < kAttempts && !statuses.ends_with("200"); ++i) {
    standin::RequestSettings request;
    request.mId = fmt::format("ordinary-{}", ++mAsked);
    request.mPath = "/item/";
    if (i > 0) {
      SleepFor(kAttemptPause);
    }
    statuses += fmt::format(
      " {}",
      standin::Ask(Caller(), standin::RequestText(request), kAttemptSeconds));
  }
  return statuses;
}

std::string
Site::AskListener(const core::Address& aAddress, const std::string& aPath)
{
  std::string statuses;
  for (int i = 0; i < kAttempts; ++i) {
    if (i > 0) {
      SleepFor(kAttemptPause);
    }
    const int status = standin::Ask(
      aAddress, "GET " + aPath + " HTTP/1.1\r\nHost: n\r\n\r\n", 1);
    if (status != 0) {
      return statuses + " 200";
    }
    statuses += " 0";
  }
  return statuses;
}

std::string
Site::LogTail() const
{
  constexpr std::ptrdiff_t kBytes = 1500;
  std::ifstream file(mFolder + "/log");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto count = std::min(kBytes, static_cast<std::ptrdiff_t>(text.size()));
  return { text.end() - count, text.end() };
}

} // namespace nutmegrock::tests
