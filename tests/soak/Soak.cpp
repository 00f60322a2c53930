#include "tests/soak/Soak.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <limits>
#include <spdlog/fmt/fmt.h>
#include <stdexcept>
#include <utility>

namespace nutmegrock::tests {

namespace {

using standin::Now;
using standin::SleepFor;

constexpr const char* kServices[] = { "till", "stock" };
constexpr double kGrace = 6;
constexpr double kStartTime = 10;
// Clients get no work after two readiness checks, one a second, without 200.
constexpr double kOut = 2;
constexpr double kForEver = std::numeric_limits<double>::max();
// A longer step of the driver counts as a disturbance of the whole machine.
constexpr double kLag = 0.25;
// Dynamic linking, in which a signal ends any process, is over when the process
// holds signals or handles them, and at the latest when it has run this long.
constexpr double kLinking = 0.2;
constexpr std::size_t kExtraPaths = 8;

std::vector<std::string>
ExtraPaths()
{
  std::vector<std::string> paths{ "/extra-bad/" };
  for (std::size_t i = 0; i < kExtraPaths; ++i) {
    paths.push_back(fmt::format("/extra-{}/", i));
  }
  return paths;
}

std::string
NewFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "nutmegrock-soak-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return pattern;
}

} // namespace

Soak::Soak(SoakSettings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mSeed)
  , mFolder(NewFolder())
  , mLedger(mSettings.mNodes, std::size(kServices))
  , mStore(std::make_unique<standin::Store>())
{
  const auto& names = mSettings.mFaults;
  for (const std::string& name : names) {
    const std::vector<std::string> all = Faults();
    if (name != "none" &&
        std::find(all.begin(), all.end(), name) == all.end()) {
      throw std::runtime_error("no such disturbance: " + name);
    }
  }
  for (const Fault& fault : AllFaults()) {
    if (names.empty() ||
        std::find(names.begin(), names.end(), fault.mName) != names.end()) {
      mFaults.push_back(fault);
    }
  }
  for (std::size_t i = 0; i < mSettings.mNodes; ++i) {
    mNodes.push_back(std::make_unique<Node>());
    mNodes[i]->mMachine = std::make_unique<Machine>(
      static_cast<int>(i) + 1, kServices[i % 2], mFolder);
    mStore->Listen(mNodes[i]->mMachine->Store());
  }
  WriteDocument();
}

Soak::~Soak()
{
  mWatching = false;
  if (mWatch.joinable()) {
    mWatch.join();
  }
  mClients.clear();
  mTasks.clear();
  mNodes.clear();
}

double
Soak::Draw(double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(mRandom);
}

std::size_t
Soak::Draw(std::size_t aCount)
{
  return mRandom() % aCount;
}

void
Soak::At(double aTime, std::function<void()> aAction)
{
  mActions.emplace(aTime, std::move(aAction));
}

std::vector<Violation>
Soak::Run()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Start(i);
    StartServer(i);
  }
  mWatch = std::thread([this] { WatchReadiness(); });
  if (WaitForNodes()) {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      mClients.push_back(std::make_unique<Clients>(
        mLedger,
        i,
        mNodes[i]->mMachine->Caller(),
        ExtraPaths(),
        [&node = *mNodes[i]] { return Now() < node.mReadyAt + kOut; },
        mSettings.mSeed));
    }
    const double end = Now() + mSettings.mSeconds;
    At(Now() + 1, [this] { Disturb(); });
    while (Now() < end) {
      Poll();
    }
  }
  mIsOver = true;
  mClients.clear();
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i]->mDisturbedSince.has_value()) {
      mLedger.OfNode(i).Add(*mNodes[i]->mDisturbedSince, kForEver);
    }
  }
  for (const auto& [timeline, from] : mOpenSpans) {
    timeline->Add(from, kForEver);
  }
  mTasks.clear();
  std::vector<Violation> violations = mLedger.Check();
  if (violations.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
  return violations;
}

bool
Soak::WaitForNodes()
{
  const double until = Now() + kStartTime;
  const auto is_ready = [](const std::unique_ptr<Node>& aNode) {
    return standin::Ask(aNode->mMachine->Ready(),
                        "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n",
                        0.5) == 200;
  };
  while (!std::all_of(mNodes.begin(), mNodes.end(), is_ready)) {
    if (Now() > until) {
      Report(0, "the nodes are not ready");
      return false;
    }
    SleepFor(0.05);
  }
  // Until the servers are known everywhere.
  SleepFor(1);
  mPolledAt = Now();
  return true;
}

void
Soak::WatchReadiness()
{
  while (mWatching) {
    for (const auto& node : mNodes) {
      const int status = standin::Ask(
        node->mMachine->Ready(), "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n", 0.3);
      if (status != 0) {
        node->mAnsweredAt = Now();
      }
      if (status == 200) {
        node->mReadyAt = Now();
      }
    }
    SleepFor(0.1);
  }
}

void
Soak::Poll()
{
  const double now = Now();
  const double lag = now - mPolledAt;
  mLongestLag = std::max(mLongestLag, lag);
  if (lag > kLag) {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      mLedger.OfNode(i).Add(mPolledAt, now);
    }
  }
  mPolledAt = now;
  while (!mActions.empty() && mActions.begin()->first <= now) {
    const auto action = std::move(mActions.begin()->second);
    mActions.erase(mActions.begin());
    action();
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    PollNode(i);
  }
  SleepFor(0.002);
}

void
Soak::PollNode(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (const std::optional<int> end = node.mMachine->TakeEnd()) {
    TakeEnd(aNode, *end);
  } else if (node.mPhase == Phase::Stopping &&
             Now() > node.mSignalledAt + kGrace) {
    Report(aNode, "a planned stop has not ended in time");
    Stop(aNode, SIGKILL);
  } else if (node.mPhase == Phase::Running && !node.mStartChecked &&
             Now() > node.mStartedAt + kStartTime) {
    node.mStartChecked = true;
    if (node.mAnsweredAt < node.mStartedAt) {
      Report(aNode, "a process does not answer 10 s after its start");
    }
  }
}

void
Soak::TakeEnd(std::size_t aNode, int aEnd)
{
  Node& node = *mNodes[aNode];
  if (node.mPhase == Phase::Running) {
    Report(aNode,
           fmt::format("the process that started at {:.3f} has ended by itself "
                       "with {}",
                       node.mStartedAt,
                       aEnd));
    BeginDisturbance(aNode);
    node.mRestartAfter = 0.5;
  } else if (node.mPhase == Phase::Stopping) {
    mLedger.Add(PlannedStop{ aNode, node.mSignalledAt, Now() });
    if (aEnd != 0) {
      Report(aNode,
             fmt::format("a planned stop at {:.3f} has ended with {}",
                         node.mSignalledAt,
                         aEnd));
    }
  }
  node.mPhase = Phase::Ended;
  At(Now() + node.mRestartAfter, [this, aNode] { Start(aNode); });
}

void
Soak::Report(std::size_t aNode, const std::string& aText)
{
  mLedger.Add(Violation{ "FAULT", Now(), aNode, aText });
}

void
Soak::Start(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (node.mPhase != Phase::Ended || mIsOver) {
    return;
  }
  if (node.mHoldAddress) {
    node.mHoldAddress = false;
    const core::Address held[] = { node.mMachine->Caller(),
                                   node.mMachine->Nodes(),
                                   node.mMachine->Notices(),
                                   node.mMachine->Peer(),
                                   node.mMachine->Ready() };
    auto holder = std::make_shared<std::unique_ptr<standin::HttpServer>>(
      std::make_unique<standin::HttpServer>(
        held[Draw(std::size(held))],
        [](const standin::Message&, standin::Connection&) { return false; }));
    At(Now() + Draw(0.1, 1), [this, aNode, holder] {
      holder->reset();
      EndDisturbance(aNode);
    });
  } else {
    At(Now(), [this, aNode] { EndDisturbance(aNode); });
  }
  node.mMachine->Start();
  node.mPhase = Phase::Running;
  node.mStartedAt = Now();
  node.mLinkedAt = node.mStartedAt + kLinking;
  mLedger.OfNode(aNode).Add(node.mStartedAt, node.mStartedAt);
  node.mStartChecked = false;
}

void
Soak::StartServer(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  standin::BackendServer::Settings settings;
  settings.mId = fmt::format("i-{}-{}", aNode, node.mServers);
  settings.mService = node.mMachine->Service();
  settings.mZone = "north-a";
  settings.mAddress = node.mMachine->BackendServer();
  settings.mNotices = node.mMachine->Notices();
  settings.mCaller = node.mMachine->Caller();
  node.mBackendServer = std::make_unique<standin::BackendServer>(
    settings, [this](const std::string& aId, const std::string&, double aAt) {
      mLedger.AddRun(aId, aAt);
    });
}

void
Soak::BeginDisturbance(std::size_t aNode)
{
  auto& since = mNodes[aNode]->mDisturbedSince;
  since = since.value_or(Now());
}

void
Soak::EndDisturbance(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (node.mDisturbedSince.has_value() && node.mPhase == Phase::Running) {
    mLedger.OfNode(aNode).Add(*node.mDisturbedSince, Now());
    node.mDisturbedSince.reset();
  }
}

void
Soak::OpenSpan(Timeline& aTimeline)
{
  mOpenSpans[&aTimeline] = Now();
}

void
Soak::CloseSpan(Timeline& aTimeline, double aUntil)
{
  const auto span = mOpenSpans.find(&aTimeline);
  aTimeline.Add(span->second, aUntil);
  mOpenSpans.erase(span);
}

void
Soak::Stop(std::size_t aNode, int aSignal)
{
  Node& node = *mNodes[aNode];
  BeginDisturbance(aNode);
  node.mPhase = aSignal == SIGTERM ? Phase::Stopping : Phase::Killed;
  node.mSignalledAt = Now();
  node.mRestartAfter = Draw(0, 1);
  node.mMachine->Signal(aSignal);
}

bool
Soak::HandlesSignals(std::size_t aNode) const
{
  const Node& node = *mNodes[aNode];
  return node.mPhase == Phase::Running &&
         (node.mMachine->HoldsSignals() || Now() > node.mLinkedAt);
}

void
Soak::PauseProcess(std::size_t aNode)
{
  mNodes[aNode]->mMachine->Signal(SIGSTOP);
  mNodes[aNode]->mLinkedAt = kForEver;
}

void
Soak::ResumeProcess(std::size_t aNode)
{
  mNodes[aNode]->mMachine->Signal(SIGCONT);
  mNodes[aNode]->mLinkedAt = Now() + kLinking;
}

std::optional<std::size_t>
Soak::DrawNode()
{
  const std::size_t node = Draw(mNodes.size());
  if (mNodes[node]->mPhase != Phase::Running ||
      mNodes[node]->mDisturbedSince.has_value()) {
    return std::nullopt;
  }
  return node;
}

void
Soak::Disturb()
{
  // Storms alternate with times in which all nodes stay in touch.
  constexpr double kPeriod = 11;
  constexpr double kStorm = 4;
  if (mFaults.empty()) {
    return;
  }
  mIsStorm = std::fmod(Now(), kPeriod) < kStorm;
  const Fault& fault = mFaults[Draw(mFaults.size())];
  if (mIsStorm || !fault.mDisturbs) {
    (this->*fault.mRun)();
  }
  At(Now() + Draw(0.05, 0.4), [this] { Disturb(); });
}

std::string
Soak::Summary() const
{
  return fmt::format("seed={} seconds={} nodes={} {} longest_lag={:.3f}",
                     mSettings.mSeed,
                     mSettings.mSeconds,
                     mSettings.mNodes,
                     mLedger.Summary(),
                     mLongestLag);
}

std::string
Soak::LogTail(std::size_t aNode) const
{
  return mNodes[aNode]->mMachine->LogTail();
}

} // namespace nutmegrock::tests
