// The disturbances of a soak.
#include "tests/soak/Soak.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <future>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::tests {

namespace {

using standin::Now;
using standin::SleepFor;

// The earliest signal after a start.
constexpr double kFirstSignal = 0.002;

} // namespace

const std::vector<Soak::Fault>&
Soak::AllFaults()
{
  static const std::vector<Fault> sFaults{
    { "term", &Soak::Terminate, false },
    { "kill", &Soak::Kill, true },
    { "kill_all", &Soak::KillAll, true },
    { "hup", &Soak::Hup, false },
    { "early_hup", &Soak::EarlyHup, true },
    { "early_term", &Soak::EarlyTerminate, true },
    { "pause", &Soak::Pause, true },
    { "busy_address", &Soak::BusyAddress, true },
    { "half_settings", &Soak::HalfSettings, false },
    { "documents", &Soak::Documents, false },
    { "many_documents", &Soak::ManyDocuments, false },
    { "bad_documents", &Soak::BadDocuments, false },
    { "store_down", &Soak::StoreDown, true },
    { "store_unavailable", &Soak::StoreUnavailable, true },
    { "store_busy", &Soak::StoreBusy, true },
    { "store_slow", &Soak::StoreSlow, true },
    { "store_silent", &Soak::StoreSilent, true },
    { "store_refuses", &Soak::StoreRefuses, true },
    { "silent_group", &Soak::SilentGroup, true },
    { "replace_server", &Soak::ReplaceServer, true },
    { "drain_server", &Soak::DrainServer, true },
    { "slow_servers", &Soak::SlowServers, false },
    { "bad_heartbeats", &Soak::BadHeartbeats, false },
    { "late_heartbeats", &Soak::LateHeartbeats, false },
  };
  return sFaults;
}

std::vector<std::string>
Soak::Faults()
{
  std::vector<std::string> names;
  for (const Fault& fault : AllFaults()) {
    names.emplace_back(fault.mName);
  }
  return names;
}

void
Soak::Terminate()
{
  // Outside of storms only one at a time, without anything unplanned.
  const bool all_run =
    std::all_of(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return aNode->mPhase == Phase::Running;
    });
  const auto node = DrawNode();
  if (node.has_value() && (mIsStorm || all_run)) {
    Stop(*node, SIGTERM);
  }
}

void
Soak::Kill()
{
  if (const auto node = DrawNode()) {
    Stop(*node, SIGKILL);
  }
}

void
Soak::KillAll()
{
  constexpr std::size_t kOneIn = 4;
  if (Draw(kOneIn) != 0) {
    return;
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i]->mPhase == Phase::Running) {
      Stop(i, SIGKILL);
    }
  }
}

void
Soak::Hup()
{
  const auto node = DrawNode();
  if (!node.has_value()) {
    return;
  }
  const std::size_t count = 1 + Draw(std::size_t{ 8 });
  for (std::size_t i = 0; i < count; ++i) {
    At(Now() + Draw(0, 0.1), [this, node] {
      if (HandlesSignals(*node)) {
        mNodes[*node]->mMachine->Signal(SIGHUP);
      }
    });
  }
}

void
Soak::EarlyHup()
{
  const auto node = DrawNode();
  if (!node.has_value()) {
    return;
  }
  Stop(*node, SIGKILL);
  mNodes[*node]->mRestartAfter = 0.1;
  // Signals follow each start for a second.
  for (int i = 0; i < 200; ++i) {
    At(Now() + 0.1 + i * 0.0025, [this, node] {
      if (HandlesSignals(*node)) {
        mNodes[*node]->mMachine->Signal(SIGHUP);
      }
    });
  }
}

void
Soak::EarlyTerminate()
{
  const auto node = DrawNode();
  if (!node.has_value()) {
    return;
  }
  Stop(*node, SIGKILL);
  mNodes[*node]->mRestartAfter = 0.1;
  const double delay = Draw(kFirstSignal, 0.06);
  At(Now() + 0.11 + delay, [this, node] {
    if (HandlesSignals(*node)) {
      Stop(*node, SIGTERM);
    }
  });
}

void
Soak::Pause()
{
  const auto node = DrawNode();
  if (!node.has_value()) {
    return;
  }
  BeginDisturbance(*node);
  PauseProcess(*node);
  At(Now() + Draw(0.2, 3), [this, node] {
    ResumeProcess(*node);
    EndDisturbance(*node);
  });
}

void
Soak::BusyAddress()
{
  if (const auto node = DrawNode()) {
    Stop(*node, SIGKILL);
    mNodes[*node]->mHoldAddress = true;
  }
}

void
Soak::HalfSettings()
{
  const auto node = DrawNode();
  if (!node.has_value()) {
    return;
  }
  const Machine& machine = *mNodes[*node]->mMachine;
  constexpr std::size_t kBytes = 300;
  machine.WriteSettings(Draw(kBytes));
  const bool has_signal = Draw(std::size_t{ 2 }) == 0;
  const auto signal = [this, node, has_signal] {
    if (has_signal && HandlesSignals(*node)) {
      mNodes[*node]->mMachine->Signal(SIGHUP);
    }
  };
  signal();
  At(Now() + 0.05, [&machine, signal] {
    machine.WriteSettings();
    signal();
  });
}

std::vector<standin::RouteSettings>
Soak::Routes() const
{
  std::vector<standin::RouteSettings> routes{
    { "/read/", "safe", { "till" } },      { "/order/", "unsafe", { "till" } },
    { "/upload/", "upload", { "stock" } }, { "/nested/", "safe", { "till" } },
    { "/item/", "safe", { "stock" } },
  };
  for (const auto& [path, services] : mExtraRoutes) {
    routes.push_back({ path, "safe", services });
  }
  for (std::size_t i = 0; i < mManyRoutes; ++i) {
    routes.push_back({ fmt::format("/many-{}/", i), "safe", { "till" } });
  }
  return routes;
}

void
Soak::ChangeRoutes()
{
  constexpr std::size_t kPaths = 8;
  const std::size_t count = 1 + Draw(std::size_t{ 3 });
  for (std::size_t i = 0; i < count; ++i) {
    const std::string path = fmt::format("/extra-{}/", Draw(kPaths));
    switch (Draw(std::size_t{ 4 })) {
      case 0:
        mExtraRoutes.erase(path);
        break;
      case 1:
        mExtraRoutes[path] = { "till", "stock" };
        break;
      case 2:
        mExtraRoutes[path] = { "till" };
        break;
      default:
        mExtraRoutes[path] = { "stock" };
    }
  }
}

void
Soak::WriteDocument()
{
  mVersion += 1 + static_cast<int>(Draw(std::size_t{ 3 }));
  MarkVersion();
  Document document{ mVersion, Now(), 0, mExtraRoutes };
  mStore->Write("op", "config", standin::DocumentText(mVersion, Routes()));
  document.mAcknowledgedAt = Now();
  mLedger.Add(document);
  CheckVersion();
}

void
Soak::MarkVersion()
{
  constexpr int kKept = 12;
  mExtraRoutes[fmt::format("/mark-{}/", mVersion)] = { "till" };
  std::erase_if(mExtraRoutes, [this](const auto& aRoute) {
    int version = 0;
    return std::sscanf(aRoute.first.c_str(), "/mark-%d/", &version) == 1 &&
           version < mVersion - kKept;
  });
}

void
Soak::CheckVersion()
{
  // From the acknowledgement, and a little for the driver itself.
  constexpr double kDue = 2.02;
  constexpr double kPatience = 2.5;
  At(Now() + kDue, [this, path = fmt::format("/mark-{}/", mVersion)] {
    for (std::size_t i = 0; i < mNodes.size() && !mIsOver; ++i) {
      mTasks.push_back(std::async(std::launch::async, [this, i, path] {
        standin::RequestSettings request;
        request.mId = fmt::format("m{}.{}{}", mSettings.mSeed, i, path);
        request.mPath = path;
        Probe probe{ i, path, Now(), 0, 0, {} };
        const int fd = standin::Connection::Open(mNodes[i]->mMachine->Caller());
        if (fd < 0) {
          return;
        }
        standin::Connection connection(fd);
        standin::Message answer;
        if (connection.Send(standin::RequestText(request)) &&
            connection.Read(answer, Now() + kPatience) ==
              standin::ReadEnd::Complete) {
          probe.mEndedAt = Now();
          probe.mStatus = answer.Status();
          probe.mService = standin::ServiceOf(answer, request.mId);
          mLedger.Add(probe);
        }
      }));
    }
  });
}

void
Soak::Documents()
{
  ChangeRoutes();
  WriteDocument();
}

void
Soak::ManyDocuments()
{
  constexpr std::size_t kMany = 300;
  mManyRoutes = Draw(std::size_t{ 2 }) * kMany;
  for (int i = 0; i < 6; ++i) {
    At(Now() + Draw(0, 0.15), [this] { Documents(); });
  }
}

void
Soak::BadDocuments()
{
  auto routes = Routes();
  routes.push_back({ "/extra-bad/", "safe", { "till" } });
  mVersion += 1;
  const std::string text = standin::DocumentText(mVersion, routes);
  // A route that cannot be read is skipped alone, and a document without hosts
  // or services as a whole.
  std::string no_hosts = text;
  no_hosts.replace(no_hosts.find("\"hosts\""), 7, "\"guests\"");
  std::string no_services = text;
  no_services.replace(no_services.find("\"services\""), 10, "\"other\"");
  const std::string texts[] = { text.substr(0, text.size() / 2),
                                "",
                                "\xff\xfe",
                                "[" + text + "]",
                                no_hosts,
                                no_services };
  mStore->Write("op", "config", texts[Draw(std::size(texts))]);
  At(Now() + Draw(0.05, 1), [this] { Documents(); });
}

void
Soak::DisturbStore(standin::Store::State aState)
{
  if (mStoreDisturbed) {
    return;
  }
  mStoreDisturbed = true;
  mStore->Set(aState);
  OpenSpan(mLedger.OfStore());
  At(Now() + Draw(0.3, 4), [this] {
    mStore->Set(standin::Store::State::Up);
    mStoreDisturbed = false;
    // A slow answer takes a second.
    CloseSpan(mLedger.OfStore(), Now() + 1);
  });
}

void
Soak::StoreSilent()
{
  mStore->SilenceOpenConnections();
  mLedger.OfStore().Add(Now(), Now());
}

std::vector<std::size_t>
Soak::DrawGroup()
{
  std::vector<std::pair<std::string, std::size_t>> order;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    order.emplace_back(mNodes[i]->mMachine->StatusField("incarnation ", 0.2),
                       i);
  }
  if (Draw(std::size_t{ 2 }) == 0) {
    std::sort(order.begin(), order.end());
  } else {
    std::shuffle(order.begin(), order.end(), mRandom);
  }
  order.resize(1 + Draw(mNodes.size() - 1));
  std::vector<std::size_t> group;
  for (const auto& [incarnation, node] : order) {
    if (mNodes[node]->mPhase == Phase::Running &&
        !mNodes[node]->mDisturbedSince.has_value()) {
      group.push_back(node);
    }
  }
  return group;
}

// All connections to the store go silent while some nodes fail together, as
// in the outage of a zone; routes change when the others are in touch again.
void
Soak::SilentGroup()
{
  constexpr double kFirstChange = 1;
  constexpr double kLastChange = 6;
  if (mStoreDisturbed) {
    return;
  }
  const std::vector<std::size_t> group = DrawGroup();
  const double until = Now() + Draw(4, 9);
  const std::size_t kind = Draw(std::size_t{ 3 });
  for (const std::size_t node : group) {
    BeginDisturbance(node);
    if (kind == 0) {
      Stop(node, SIGKILL);
      mNodes[node]->mRestartAfter = until - Now();
    } else if (kind == 1) {
      PauseProcess(node);
    } else {
      mStore->Set(node, standin::Store::State::Down);
    }
    if (kind != 0) {
      At(until, [this, node, kind] {
        if (kind == 1) {
          ResumeProcess(node);
        } else {
          mStore->Set(node, standin::Store::State::Up);
        }
        EndDisturbance(node);
      });
    }
  }
  mStoreDisturbed = true;
  At(until, [this] { mStoreDisturbed = false; });
  StoreSilent();
  At(Now() + Draw(kFirstChange, kLastChange), [this] { Documents(); });
}

void
Soak::StoreRefuses()
{
  const auto node = DrawNode();
  if (!node.has_value() || mStoreDisturbed) {
    return;
  }
  mStoreDisturbed = true;
  const standin::Store::State states[] = { standin::Store::State::Down,
                                           standin::Store::State::Unavailable,
                                           standin::Store::State::Busy };
  mStore->Set(*node, states[Draw(std::size(states))]);
  OpenSpan(mLedger.OfNode(*node));
  At(Now() + Draw(0.3, 4), [this, node] {
    mStore->Set(*node, standin::Store::State::Up);
    mStoreDisturbed = false;
    CloseSpan(mLedger.OfNode(*node), Now());
  });
}

void
Soak::WithServer(std::size_t aNode,
                 bool aDisturbs,
                 std::function<void(Node&)> aTask)
{
  Node& node = *mNodes[aNode];
  if (node.mServerBusy.exchange(true)) {
    return;
  }
  mTasks.push_back(
    std::async(std::launch::async,
               [this, aNode, aDisturbs, &node, task = std::move(aTask)] {
                 const double from = Now();
                 task(node);
                 if (aDisturbs) {
                   mLedger.OfServer(aNode).Add(from, Now());
                 }
                 node.mServerBusy = false;
               }));
}

void
Soak::ReplaceServer()
{
  const std::size_t index = Draw(mNodes.size());
  const bool has_new_id = Draw(std::size_t{ 2 }) == 0;
  const double gap = Draw(0, 1);
  WithServer(index, true, [this, index, has_new_id, gap](Node& aNode) {
    aNode.mBackendServer.reset();
    SleepFor(gap);
    aNode.mServers += has_new_id ? 1 : 0;
    StartServer(index);
  });
}

void
Soak::DrainServer()
{
  const std::size_t index = Draw(mNodes.size());
  const bool says_so = Draw(std::size_t{ 2 }) == 0;
  WithServer(index, true, [this, index, says_so](Node& aNode) {
    constexpr double kDrain = 2.5;
    if (says_so) {
      aNode.mBackendServer->Drain();
    } else {
      aNode.mBackendServer->Deregister();
    }
    SleepFor(kDrain);
    if (says_so) {
      aNode.mBackendServer->Deregister();
    }
    aNode.mBackendServer.reset();
    ++aNode.mServers;
    StartServer(index);
  });
}

void
Soak::SlowServers()
{
  const double work = Draw(0.1, 0.8);
  const double seconds = Draw(0.3, 3);
  const std::size_t first = Draw(std::size_t{ 2 });
  for (std::size_t i = first; i < mNodes.size(); i += 2) {
    WithServer(i, false, [work, seconds](Node& aNode) {
      constexpr double kUsual = 0.01;
      aNode.mBackendServer->SetWork(work);
      SleepFor(seconds);
      aNode.mBackendServer->SetWork(kUsual);
    });
  }
}

void
Soak::BadHeartbeats()
{
  WithServer(Draw(mNodes.size()), false, [](Node& aNode) {
    aNode.mBackendServer->SendBadHeartbeats();
  });
}

void
Soak::LateHeartbeats()
{
  WithServer(Draw(mNodes.size()), false, [](Node& aNode) {
    aNode.mBackendServer->SendLateHeartbeat();
  });
}

} // namespace nutmegrock::tests
