#include "announce/LocalServer.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <random>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::announce;
using std::chrono::milliseconds;

namespace {

const core::Address kAddress{ "10.0.0.1", 8300 };
constexpr std::int64_t kEpochMs = 1'000'000'000;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kHeartbeatInterval{ 1'000 };
constexpr milliseconds kCheckTime{ 40 };

/// A server at the address, the node beside it, and other writers.
class Machine
{
public:
  explicit Machine(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
    RestartNode();
    ReplaceServer();
  }

  /// Goes on for one step. The server's heartbeats, checks and answers are good
  /// unless there is trouble.
  void Step(bool aTrouble)
  {
    mNow += kStep;
    if (aTrouble && Draw(10) == 0) {
      Disturb();
    }
    if (mNow >= mNextHeartbeat && (!aTrouble || Draw(3) != 0)) {
      mNextHeartbeat = mNow + kHeartbeatInterval;
      Send(mTrue);
      ++mTrue.mSequence;
    }
    if (mAnswerAt && mNow >= *mAnswerAt) {
      mAnswerAt.reset();
      mNode->OnHealthy(mNow, mCheckedId, Draw(2) == 0 ? 0 : 10);
    }
    if (mNode->NeedsCheck(mNow)) {
      mNode->OnCheckSent(mNow);
      if (!aTrouble || Draw(3) != 0) {
        mAnswerAt = mNow + kCheckTime;
        mCheckedId = mTrue.mId;
      }
    }
    if (mNode->CanStartWork(mNow) && Draw(4) == 0) {
      if (mNode->Latest()->mId == mTrue.mId) {
        mNode->OnAnswer(mNow);
      } else {
        mNode->OnContradicted(mNow);
      }
    }
    mNode->Tick(mNow);
  }

  bool ServesTrueServer() const
  {
    return mNode->CanStartWork(mNow) && mNode->Latest()->mId == mTrue.mId;
  }

private:
  std::uint32_t Draw(std::uint32_t aBelow)
  {
    return std::uniform_int_distribution<std::uint32_t>(0, aBelow - 1)(mRandom);
  }

  std::int64_t WallClockMs() const
  {
    return kEpochMs +
           std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch())
             .count();
  }

  void RestartNode()
  {
    LocalServerSettings settings;
    settings.mService = "till";
    settings.mAddress = kAddress;
    settings.mNodeStart = mNow;
    settings.mNodeStartMs = WallClockMs();
    mNode = std::make_unique<LocalServer>(settings);
    mAnswerAt.reset();
  }

  void ReplaceServer()
  {
    mFormer = mTrue;
    mTrue.mId = "server-" + std::to_string(++mIds);
    StartServer();
  }

  void StartServer()
  {
    mTrue.mService = "till";
    mTrue.mAddress = kAddress;
    mTrue.mSlots = 10;
    mTrue.mSequence = 1;
    mTrue.mStartedMs = WallClockMs();
    mNextHeartbeat = mNow + kStep;
  }

  void Send(const Announcement& aAnnouncement)
  {
    static_cast<void>(mNode->OnHeartbeat(mNow, aAnnouncement));
  }

  void Disturb()
  {
    switch (Draw(8)) {
      case 0:
        RestartNode();
        break;
      case 1:
        ReplaceServer();
        break;
      case 2:
        // The same identity starts again.
        mNow += kStep;
        StartServer();
        break;
      case 3:
        Send(mFormer);
        break;
      case 4: {
        Announcement foreign = mTrue;
        foreign.mId = "foreign-" + std::to_string(Draw(3));
        foreign.mStartedMs += Draw(200'000);
        foreign.mSequence = Draw(1'000);
        foreign.mDraining = Draw(4) == 0;
        Send(foreign);
        break;
      }
      case 5: {
        Announcement numbered = mTrue;
        numbered.mSequence += Draw(1'000);
        Send(numbered);
        break;
      }
      case 6:
        mNode->OnLeave(mNow, mFormer.mId, mFormer.mStartedMs);
        break;
      default:
        mNode->OnUnhealthy(mNow, Draw(2) == 0 ? "" : mTrue.mId);
        break;
    }
  }

  std::mt19937 mRandom;
  core::TimePoint mNow{ std::chrono::hours(1) };
  std::unique_ptr<LocalServer> mNode;
  Announcement mTrue;
  Announcement mFormer;
  int mIds = 0;
  core::TimePoint mNextHeartbeat;
  std::optional<core::TimePoint> mAnswerAt;
  std::string mCheckedId;
};

} // namespace

// Guards against a node that stays without the server beside it, whatever other
// writers, late heartbeats, restarts and replacements there were before.
TEST_CASE("a node finds its server within a heartbeat interval and a check")
{
  // A heartbeat, a check that was due just before, and the check that decides.
  constexpr milliseconds kBound =
    kHeartbeatInterval + milliseconds(400) + 2 * kCheckTime + 2 * kStep;
  for (std::uint32_t seed = 1; seed <= 2'000; ++seed) {
    CAPTURE(seed);
    Machine machine(seed);
    for (int round = 0; round < 4; ++round) {
      for (int i = 0; i < 150; ++i) {
        machine.Step(true);
      }
      for (milliseconds time{ 0 }; time < kBound; time += kStep) {
        machine.Step(false);
      }
      for (int i = 0; i < 100; ++i) {
        REQUIRE(machine.ServesTrueServer());
        machine.Step(false);
      }
    }
  }
}
