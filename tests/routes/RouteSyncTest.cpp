#include "routes/RouteSync.h"
#include "core/Time.h"
#include "tests/routes/NumberDocument.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::routes;
using nutmegrock::tests::DecodeNumber;

namespace {

/// Returns scripted responses in order; Read() and WaitForChange() pause
/// briefly when there are none left. Reads on new connections find nothing new.
class ScriptedStore final : public RouteStore
{
public:
  core::Expected<StoredRoutes> Read() override
  {
    ++mReads;
    return Next();
  }
  core::Expected<StoredRoutes> ReadOnNewConnection() override
  {
    return StoredRoutes{ "", 99 };
  }
  core::Expected<StoredRoutes> WaitForChange(std::uint64_t,
                                             std::chrono::milliseconds) override
  {
    return Next();
  }

  /// Not to be changed while a watch runs.
  std::deque<core::Expected<StoredRoutes>> mResponses;
  std::atomic<int> mReads{ 0 };

private:
  core::Expected<StoredRoutes> Next()
  {
    if (!mResponses.empty()) {
      auto response = mResponses.front();
      mResponses.pop_front();
      return response;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return StoredRoutes{ "", 99 };
  }
};

template<class Condition>
bool
WaitFor(Condition aCondition)
{
  for (int i = 0; i < 2000 && !aCondition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return aCondition();
}

} // namespace

// Guards against a store failure or an unreadable document discarding the
// routes in force.
TEST_CASE("the watch survives faults, bad documents and lost history")
{
  const auto store = std::make_shared<ScriptedStore>();
  const auto down = core::Fail(core::ErrorKind::StoreUnavailable, "down");
  const auto gone = core::Fail(core::ErrorKind::NotFound, "gone");
  store->mResponses.emplace_back(down);
  store->mResponses.emplace_back(StoredRoutes{ "3", 10 });
  store->mResponses.emplace_back(StoredRoutes{ "nonsense", 11 });
  store->mResponses.emplace_back(gone);
  store->mResponses.emplace_back(StoredRoutes{ "2", 12 });
  store->mResponses.emplace_back(StoredRoutes{ "7", 13 });
  ActiveRoutes active;
  std::atomic<int> unusable{ 0 };
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [&unusable](const std::string& aLine) {
                     unusable += aLine.starts_with("event=routes_unusable");
                   } });
  sync.Start();
  CHECK(WaitFor([&] { return active.Version() == 7; }));
  CHECK(unusable == 1);
  CHECK(store->mReads == 3);
  CHECK(*sync.HandlePull() == "7");
}

namespace {

/// Holds a version that grows by one at intervals, up to a last one.
class ChangingStore final : public RouteStore
{
public:
  static constexpr std::uint64_t kLast = 40;
  static constexpr std::chrono::milliseconds kInterval{ 50 };

  core::Expected<StoredRoutes> Read() override { return Newest(); }
  core::Expected<StoredRoutes> ReadOnNewConnection() override
  {
    ++mCalls;
    return Newest();
  }
  core::Expected<StoredRoutes> WaitForChange(std::uint64_t aCursor,
                                             std::chrono::milliseconds) override
  {
    ++mCalls;
    for (int i = 0; i < 100 && Version() <= aCursor; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return Version() > aCursor ? Newest() : StoredRoutes{ "", aCursor };
  }
  std::uint64_t Version() const
  {
    return std::min<std::uint64_t>(
      kLast,
      1 +
        static_cast<std::uint64_t>((core::Clock::now() - mBegin) / kInterval));
  }

  std::atomic<int> mCalls{ 0 };

private:
  StoredRoutes Newest() const
  {
    return { std::to_string(Version()), Version() };
  }

  const core::TimePoint mBegin = core::Clock::now();
};

} // namespace

// Load pattern: versions in quick succession at many nodes. Guards against a
// call to the store for each version and node, and against nodes that stay
// behind the newest one.
TEST_CASE("versions in quick succession take few calls to the store")
{
  const auto store = std::make_shared<ChangingStore>();
  ActiveRoutes active;
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [](const std::string&) {} });
  sync.Start();
  std::uint64_t behind = 0;
  std::uint64_t before = 0;
  while (store->Version() < ChangingStore::kLast) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    // Read first, so that the store cannot appear to be behind it.
    const std::uint64_t version = active.Version();
    behind = std::max(behind, store->Version() - version);
    CHECK(version >= before);
    before = version;
  }
  CHECK(WaitFor([&] { return active.Version() == ChangingStore::kLast; }));
  CHECK(store->mCalls <= 16);
  // 0.8 s, and some time on a busy machine.
  CHECK(behind <= 24);
}

// Guards against nodes that cannot reach the store staying on an old version.
TEST_CASE("a newer version of another node is pulled once and put in force")
{
  const auto store = std::make_shared<ScriptedStore>();
  ActiveRoutes active;
  int pulls = 0;
  RouteSync::PullCallback pending;
  RouteSync sync(
    store,
    DecodeNumber,
    active,
    { [&](const core::Address&, RouteSync::PullCallback aCallback) {
       ++pulls;
       pending = std::move(aCallback);
     },
      [](const std::string&) {} });
  sync.OnVersionSeen({ "127.0.0.1", 1 }, 4);
  sync.OnVersionSeen({ "127.0.0.1", 1 }, 4);
  CHECK(pulls == 1);
  pending(std::string("4"));
  CHECK(active.Version() == 4);
  sync.OnVersionSeen({ "127.0.0.1", 1 }, 4);
  CHECK(pulls == 1);
  sync.OnVersionSeen({ "127.0.0.1", 1 }, 5);
  CHECK(pulls == 2);
  pending(core::Fail(core::ErrorKind::PeerLost, "cut"));
  sync.OnVersionSeen({ "127.0.0.1", 1 }, 5);
  CHECK(pulls == 3);
  CHECK(active.Version() == 4);
}

// Guards against parts of a node that do not notice for long that the store is
// back, although its watch does.
TEST_CASE("each return of the store is reported once")
{
  const auto store = std::make_shared<ScriptedStore>();
  const auto down = core::Fail(core::ErrorKind::StoreUnavailable, "down");
  store->mResponses.emplace_back(down);
  store->mResponses.emplace_back(StoredRoutes{ "3", 10 });
  store->mResponses.emplace_back(StoredRoutes{ "", 11 });
  store->mResponses.emplace_back(down);
  store->mResponses.emplace_back(down);
  store->mResponses.emplace_back(StoredRoutes{ "7", 13 });
  ActiveRoutes active;
  std::atomic<int> regained{ 0 };
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [](const std::string&) {},
                   [&regained] { ++regained; } });
  sync.Start();
  CHECK(WaitFor([&] { return active.Version() == 7; }));
  CHECK(regained == 2);
}

// Guards against waiting for changes after a position in the history of another
// store.
TEST_CASE("a restarted watch reads the whole document")
{
  const auto store = std::make_shared<ScriptedStore>();
  store->mResponses.emplace_back(StoredRoutes{ "3", 10 });
  ActiveRoutes active;
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [](const std::string&) {} });
  sync.Start();
  CHECK(WaitFor([&] { return active.Version() == 3; }));
  CHECK(store->mReads == 1);
  sync.Restart();
  CHECK(WaitFor([&] { return store->mReads == 2; }));
}

namespace {

/// Waits without an answer, as on a connection that has gone silent, until the
/// watch ends. New connections work.
class SilentStore final : public RouteStore
{
public:
  core::Expected<StoredRoutes> Read() override
  {
    return StoredRoutes{ "3", 10, 1'000 };
  }
  core::Expected<StoredRoutes> ReadOnNewConnection() override
  {
    ++mReads;
    return StoredRoutes{ "4", 11, 2'000 };
  }
  core::Expected<StoredRoutes> WaitForChange(
    std::uint64_t,
    std::chrono::milliseconds aWait) override
  {
    std::this_thread::sleep_for(aWait);
    return core::Fail(core::ErrorKind::StoreUnavailable, "silent");
  }

  std::atomic<int> mReads{ 0 };
};

} // namespace

// Guards against a confirmed version that is not in force at a node whose
// connection to the store went silent, rule CONFIG: only the nodes of the
// lowest rank noticed in time, and one that heard nothing from them waited for
// up to 25.8 s.
TEST_CASE("a node that hears of nothing reads the store itself in time")
{
  const auto store = std::make_shared<SilentStore>();
  ActiveRoutes active;
  std::atomic<int> told{ 0 };
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [](const std::string&) {},
                   {},
                   {},
                   [&told] { ++told; } },
                 { std::chrono::seconds(4) });
  // Of all ranks under the rule before.
  sync.SetNodes(3'800);
  sync.Start();
  const core::TimePoint begin = core::Clock::now();
  while (active.Version() < 4 &&
         core::Clock::now() - begin < std::chrono::seconds(2)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(active.Version() == 4);
  // The others are told, at the start and now.
  CHECK(WaitFor([&] { return told >= 1; }));
}

// Guards against reads of all nodes although the others confirm the routes.
TEST_CASE("a node whose routes others confirm does not read the store")
{
  const auto store = std::make_shared<SilentStore>();
  ActiveRoutes active;
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [](const std::string&) {} },
                 { std::chrono::seconds(3) });
  sync.Start();
  for (std::int64_t i = 0; i < 20; ++i) {
    sync.OnConfirmed({ core::Clock::now(), 10'000 + i });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(store->mReads == 0);
  CHECK(sync.ProgressAt(core::Clock::now()).mAge < std::chrono::seconds(1));
}

namespace {

/// Has no history: every wait fails at once.
class ForgetfulStore final : public RouteStore
{
public:
  core::Expected<StoredRoutes> Read() override
  {
    const int reads = ++mReads;
    return StoredRoutes{ std::to_string(reads), 10 };
  }
  core::Expected<StoredRoutes> ReadOnNewConnection() override { return Read(); }
  core::Expected<StoredRoutes> WaitForChange(std::uint64_t,
                                             std::chrono::milliseconds) override
  {
    return core::Fail(core::ErrorKind::NotFound, "gone");
  }

  std::atomic<int> mReads{ 0 };
};

} // namespace

// Guards against using up the calls that the store accepts while it has no
// history, which keeps all nodes from following.
TEST_CASE("a store without history is read at intervals")
{
  const auto store = std::make_shared<ForgetfulStore>();
  ActiveRoutes active;
  RouteSync sync(store,
                 DecodeNumber,
                 active,
                 { [](const core::Address&, const RouteSync::PullCallback&) {},
                   [](const std::string&) {} });
  sync.Start();
  CHECK(WaitFor([&] { return active.Version() == 2; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  CHECK(store->mReads >= 3);
  CHECK(store->mReads <= 6);
}

namespace {

/// A store that can lose its last writes. Its history is one counter for all
/// tables, so the counter grows also when the document stays as it is.
class RollingBackStore final : public RouteStore
{
public:
  core::Expected<StoredRoutes> Read() override
  {
    const std::lock_guard lock(mMutex);
    if (mDown) {
      return core::Fail(core::ErrorKind::StoreUnavailable, "down");
    }
    return StoredRoutes{ mDocument, mVersion };
  }
  core::Expected<StoredRoutes> ReadOnNewConnection() override
  {
    if (mOnlyWatch) {
      return core::Fail(core::ErrorKind::StoreUnavailable, "refused");
    }
    return Read();
  }
  core::Expected<StoredRoutes> WaitForChange(std::uint64_t aCursor,
                                             std::chrono::milliseconds) override
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const std::lock_guard lock(mMutex);
    ++mWaits;
    if (mDown) {
      return core::Fail(core::ErrorKind::StoreUnavailable, "down");
    }
    if (mGone && aCursor > mVersion) {
      return core::Fail(core::ErrorKind::NotFound, "gone");
    }
    return StoredRoutes{ mChanged > aCursor ? mDocument : "",
                         mRepeatsCursor ? std::max(mVersion, aCursor)
                                        : mVersion };
  }
  /// Sets the state of the store; the document was written as aChanged.
  void Set(const std::string& aDocument,
           std::uint64_t aChanged,
           std::uint64_t aVersion)
  {
    const std::lock_guard lock(mMutex);
    mDocument = aDocument;
    mChanged = aChanged;
    mVersion = aVersion;
  }
  void WaitForCalls(int aCalls)
  {
    const int before = mWaits;
    CHECK(WaitFor([&] { return mWaits >= before + aCalls; }));
  }

  /// Waits after a position beyond the end fail.
  bool mGone = false;
  /// Waits after a position beyond the end report that position.
  bool mRepeatsCursor = false;
  /// Refuses new connections.
  bool mOnlyWatch = false;
  std::atomic<bool> mDown{ false };
  std::atomic<int> mWaits{ 0 };

private:
  std::mutex mMutex;
  std::string mDocument;
  std::uint64_t mChanged = 0;
  std::uint64_t mVersion = 0;
};

/// A watch of such a store that has the version 3 in force and knows the
/// history up to 100.
struct WatchedStore
{
  explicit WatchedStore(bool aGone = false, bool aRepeatsCursor = false)
    : mSettings{ std::chrono::milliseconds(700),
                 aRepeatsCursor ? 1 : RouteSync::Settings{}.mWaitsPerRead }
  {
    mStore->mGone = aGone;
    mStore->mRepeatsCursor = aRepeatsCursor;
    // So that the watch itself has to find it.
    mStore->mOnlyWatch = aRepeatsCursor;
    mStore->Set("3", 90, 100);
    mSync.Start();
    REQUIRE(WaitFor([&] { return mActive.Version() == 3; }));
    mStore->WaitForCalls(2);
  }

  const RouteSync::Settings mSettings;
  const std::shared_ptr<RollingBackStore> mStore =
    std::make_shared<RollingBackStore>();
  ActiveRoutes mActive;
  std::atomic<int> mRolledBack{ 0 };
  RouteSync mSync{ mStore,
                   DecodeNumber,
                   mActive,
                   { [](const core::Address&, const RouteSync::PullCallback&) {
                    },
                     [](const std::string&) {},
                     {},
                     [this] { ++mRolledBack; } },
                   mSettings };
};

} // namespace

// Failure: the store loses what was written last, and its versions are given
// out again. Guards against nodes that wait after a position that the store
// passes only later, and miss what is published before.
TEST_CASE("routes published after the store lost writes come into force")
{
  for (const bool gone : { false, true }) {
    CAPTURE(gone);
    WatchedStore watched(gone);
    watched.mStore->Set("2", 50, 60);
    CHECK(WaitFor([&] { return watched.mRolledBack == 1; }));
    CHECK(watched.mActive.Version() == 3);
    // Published as 61, while other rows were written.
    watched.mStore->Set("4", 61, 70);
    CHECK(WaitFor([&] { return watched.mActive.Version() == 4; }));
    CHECK(watched.mRolledBack == 1);
  }
}

// The same, when the first response after the loss comes later than the new
// document.
TEST_CASE("routes published between two calls to a rolled back store are found")
{
  WatchedStore watched;
  watched.mStore->Set("4", 61, 70);
  CHECK(WaitFor([&] { return watched.mActive.Version() == 4; }));
  CHECK(watched.mRolledBack == 1);
}

// The same, when the store was away meanwhile and has passed the known position
// again.
TEST_CASE("routes published while the store was away are found")
{
  WatchedStore watched;
  watched.mStore->mDown = true;
  watched.mStore->WaitForCalls(1);
  watched.mStore->Set("4", 61, 170);
  watched.mStore->mDown = false;
  CHECK(WaitFor([&] { return watched.mActive.Version() == 4; }));
}

// The same, when waits after the known position show nothing.
TEST_CASE("a store that repeats a later position is read at intervals")
{
  WatchedStore watched(false, true);
  watched.mStore->Set("4", 61, 70);
  CHECK(WaitFor([&] { return watched.mActive.Version() == 4; }));
  CHECK(watched.mRolledBack == 1);
}

// Guards against rows that all nodes write again although nothing is lost.
TEST_CASE("a store that fails or has no history has not lost writes")
{
  WatchedStore watched;
  watched.mStore->mDown = true;
  watched.mStore->WaitForCalls(1);
  watched.mStore->mDown = false;
  watched.mStore->Set("4", 101, 101);
  CHECK(WaitFor([&] { return watched.mActive.Version() == 4; }));
  CHECK(watched.mRolledBack == 0);
}
