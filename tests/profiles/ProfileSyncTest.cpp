#include "profiles/ProfileSync.h"
#include "profiles/ProfilePublisher.h"
#include "tests/profiles/Documents.h"
#include "tests/store/FakePlatform.h"

#include <doctest/doctest.h>
#include <functional>

using namespace nutmegrock;
using namespace nutmegrock::profiles;
using namespace nutmegrock::tests;
using namespace std::chrono_literals;
using core::ErrorKind;

namespace {

const core::Address kPeer{ "127.0.0.1", 1 };
const core::Address kOther{ "127.0.0.1", 2 };

/// Waits until a condition holds, for at most 60 s.
bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto limit = core::Clock::now() + 60s;
  while (!aCondition()) {
    if (core::Clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(1ms);
  }
  return true;
}

/// The profile components of a node, polling every few milliseconds.
struct Node
{
  explicit Node(FakePlatform& aStore)
    : mSync(aStore,
            aStore,
            mActiveProfiles,
            { [this](std::uint64_t aVersion) {
               const std::scoped_lock lock(mMutex);
               mNotified.push_back(aVersion);
             },
              [this](const core::Address& aFrom,
                     const ProfileSync::PullCallback& aCallback) {
                const std::scoped_lock lock(mMutex);
                mPulls.emplace_back(aFrom, aCallback);
              },
              [] { return std::size_t(1); } },
            { { .mMinInterval = 2ms }, {}, 1 })
  {
  }

  std::vector<std::uint64_t> Notified()
  {
    const std::scoped_lock lock(mMutex);
    return mNotified;
  }
  /// Removes and returns the oldest requested pull.
  ProfileSync::PullCallback TakePull()
  {
    const std::scoped_lock lock(mMutex);
    REQUIRE(!mPulls.empty());
    auto callback = mPulls.front().second;
    mPulls.erase(mPulls.begin());
    return callback;
  }
  std::size_t Pulls()
  {
    const std::scoped_lock lock(mMutex);
    return mPulls.size();
  }

  std::mutex mMutex;
  std::vector<std::uint64_t> mNotified;
  std::vector<std::pair<core::Address, ProfileSync::PullCallback>> mPulls;
  ActiveProfiles mActiveProfiles;
  ProfileSync mSync;
};

void
PublishNext(FakePlatform& aStore, std::uint64_t aExpected)
{
  ProfilePublisher publisher(aStore, aStore, {});
  REQUIRE(publisher.Publish({ DocumentOf(1001 + static_cast<int>(aExpected)),
                              aExpected,
                              "a",
                              "p" + std::to_string(aExpected + 1) },
                            {}));
}

} // namespace

TEST_SUITE("profiles/ProfileSync")
{
  TEST_CASE("a publication in the store is activated and members are notified")
  {
    FakePlatform store;
    Node node(store);
    node.mSync.Start();
    CHECK(Eventually([&] { return node.mSync.CurrentCounts().mPolls > 2; }));
    CHECK(node.mActiveProfiles.Version() == 0);
    PublishNext(store, 0);
    CHECK(Eventually([&] { return node.mActiveProfiles.Version() == 1; }));
    PublishNext(store, 1);
    CHECK(Eventually([&] { return node.Notified().size() == 2; }));
    CHECK(node.Notified() == std::vector<std::uint64_t>{ 1, 2 });
    CHECK(node.mSync.HandlePull().has_value());
  }

  // Guards against a stale row of the store replacing a newer set.
  TEST_CASE("a stale read does not lower the version")
  {
    FakePlatform store;
    PublishNext(store, 0);
    PublishNext(store, 1);
    Node node(store);
    node.mSync.Start();
    REQUIRE(Eventually([&] { return node.mActiveProfiles.Version() == 2; }));
    store.State().SetFaults({ .mStaleReads = -1 });
    CHECK(Eventually([&] { return node.mSync.CurrentCounts().mOutdated > 2; }));
    CHECK(node.mActiveProfiles.Version() == 2);
    CHECK(node.Notified() == std::vector<std::uint64_t>{ 2 });
  }

  // Guards against a store outage that stops polling, clears the set in force
  // or blocks pulls of a newer set from peers.
  TEST_CASE("a long store outage")
  {
    FakePlatform store;
    PublishNext(store, 0);
    Node node(store);
    node.mSync.Start();
    REQUIRE(Eventually([&] { return node.mActiveProfiles.Version() == 1; }));
    store.State().SetFaults({ .mDown = true });
    CHECK(
      Eventually([&] { return node.mSync.CurrentCounts().mPollFailures > 5; }));
    CHECK(node.mActiveProfiles.Version() == 1);
    node.mSync.OnVersionSeen(kPeer, 2);
    node.TakePull()(PublishedOf(2).mRecord.Encode());
    CHECK(Eventually([&] { return node.mActiveProfiles.Version() == 2; }));
    store.State().SetFaults({});
    PublishNext(store, 1);
    PublishNext(store, 2);
    CHECK(Eventually([&] { return node.mActiveProfiles.Version() == 3; }));
  }

  TEST_CASE("a damaged object in the store is not activated")
  {
    FakePlatform store;
    PublishNext(store, 0);
    Node node(store);
    node.mSync.Start();
    REQUIRE(Eventually([&] { return node.mActiveProfiles.Version() == 1; }));
    PublishNext(store, 1);
    const auto row = ProfileReader(store, store).ReadCurrent().value()->mRow;
    // Either the whole version 2 was activated before the damage, or none of
    // it.
    store.State().WriteObject(row.mRecord.mObject, "x");
    const auto failures = node.mSync.CurrentCounts().mPollFailures;
    CHECK(Eventually([&] {
      return node.mActiveProfiles.Version() == 2 ||
             node.mSync.CurrentCounts().mPollFailures > failures + 2;
    }));
    CHECK(*node.mActiveProfiles.Current() ==
          PublishedOf(node.mActiveProfiles.Version()).mSet);
  }

  // Guards against a member that offers an old or invalid set or does not
  // respond. Version 3 is in force and the store is down.
  TEST_CASE("sets offered by members")
  {
    ProfileRecord invalid = PublishedOf(9).mRecord;
    invalid.mDocument = "profiles: {}\nservices: {}\n";
    struct Case
    {
      const char* mName;
      std::uint64_t mReported;
      core::Expected<std::string> mResult;
      bool mPulled;
      std::uint64_t mVersion;
      std::uint64_t mFailures;
    };
    const std::vector<Case> cases = {
      { "newer", 5, PublishedOf(5).mRecord.Encode(), true, 5, 0 },
      { "newer than shown", 5, PublishedOf(6).mRecord.Encode(), true, 6, 0 },
      { "equal", 3, PublishedOf(3).mRecord.Encode(), false, 3, 0 },
      { "older", 2, PublishedOf(2).mRecord.Encode(), false, 3, 0 },
      { "older than shown", 5, PublishedOf(2).mRecord.Encode(), true, 3, 0 },
      { "invalid", 9, invalid.Encode(), true, 3, 1 },
      { "not a record", 9, std::string("x"), true, 3, 1 },
      { "no response", 9, core::Fail(ErrorKind::PeerLost, "x"), true, 3, 1 },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mName);
      FakePlatform store;
      store.State().SetFaults({ .mDown = true });
      Node node(store);
      node.mSync.OnPublished(PublishedOf(3));
      node.mSync.Start();
      node.mSync.OnVersionSeen(kPeer, entry.mReported);
      CHECK((node.Pulls() == 1) == entry.mPulled);
      if (entry.mPulled) {
        node.TakePull()(entry.mResult);
        // The result of the next pull is processed after this one.
        node.mSync.OnVersionSeen(kOther, 100);
        REQUIRE(Eventually([&] { return node.Pulls() == 1; }));
        node.TakePull()(core::Fail(ErrorKind::PeerLost, "x"));
        CHECK(Eventually([&] {
          return node.mSync.CurrentCounts().mPullFailures ==
                 entry.mFailures + 1;
        }));
      }
      CHECK(node.mActiveProfiles.Version() == entry.mVersion);
    }
  }

  // Guards against a transport callback that outlives the node.
  TEST_CASE("a response after the end is ignored")
  {
    FakePlatform store;
    ProfileSync::PullCallback late;
    {
      Node node(store);
      node.mSync.Start();
      node.mSync.OnVersionSeen(kPeer, 5);
      late = node.TakePull();
      node.mSync.Stop();
      node.mSync.OnVersionSeen(kPeer, 6);
      CHECK(node.Pulls() == 0);
    }
    late(PublishedOf(5).mRecord.Encode());
  }
}
