#include "tests/routes/SpreadModel.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace nutmegrock::tests {

namespace {

/// Recipients of a new version, and of a confirmation, as in
/// membership::Membership.
constexpr std::size_t kVersionRecipients = 4;
constexpr std::size_t kAgeRecipients = 4;

} // namespace

SpreadModel::SpreadModel(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mSeed)
  , mNodes(mSettings.mNodes)
{
  for (std::size_t i = mSettings.mFailed; i < mNodes.size(); ++i) {
    mNodes[i].mVersion = mVersion;
    mNodes[i].mFreshness.emplace(mNow, mRandom());
    mNodes[i].mFreshness->SetNodes(mNodes.size());
    if (mSettings.mReadInterval) {
      At(mNow + mSettings.mReadInterval(i), [this, i] { Read(i); });
    } else {
      ScheduleRead(i);
    }
  }
}

void
SpreadModel::At(core::TimePoint aTime, Action aAction)
{
  mActions.emplace(aTime, std::move(aAction));
}

core::Duration
SpreadModel::Delay()
{
  return core::Duration(std::uniform_int_distribution<core::Duration::rep>(
    mSettings.mMinDelay.count(), mSettings.mMaxDelay.count())(mRandom));
}

void
SpreadModel::Run(const std::vector<core::Duration>& aPublishedAt,
                 core::Duration aEnd)
{
  const core::TimePoint end = mNow + aEnd;
  for (const core::Duration at : aPublishedAt) {
    At(mNow + at, [this] {
      ++mVersion;
      mPublishedAt.push_back(mNow);
    });
  }
  while (!mActions.empty() && mActions.begin()->first <= end) {
    mNow = mActions.begin()->first;
    const Action action = std::move(mActions.begin()->second);
    mActions.erase(mActions.begin());
    action();
  }
  for (const Node& node : mNodes) {
    if (node.mFreshness && node.mVersion < mVersion) {
      mLongestLag =
        std::max(mLongestLag, end - mPublishedAt.at(node.mVersion - 1));
    }
  }
}

void
SpreadModel::ScheduleRead(std::size_t aNode)
{
  At(std::max(mNow, mNodes[aNode].mFreshness->ReadAt()),
     [this, aNode] { ReadIfDue(aNode); });
}

void
SpreadModel::ReadIfDue(std::size_t aNode)
{
  const Node& node = mNodes[aNode];
  if (!node.mReading && node.mFreshness->ReadAt() <= mNow) {
    Read(aNode);
  }
}

void
SpreadModel::Read(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mReading = true;
  mReads.push_back(mNow);
  At(mNow + Delay(), [this, aNode, sent_at = mNow] {
    const std::int64_t store_ms = mNow.time_since_epoch() / 1ms;
    At(mNow + Delay(), [this, aNode, sent_at, store_ms, version = mVersion] {
      mNodes[aNode].mReading = false;
      PutInForce(aNode, version);
      if (mSettings.mReadInterval) {
        At(mNow + mSettings.mReadInterval(aNode),
           [this, aNode] { Read(aNode); });
      } else {
        OnConfirmed(aNode,
                    mNodes[aNode].mFreshness->OnRead({ sent_at, store_ms }));
      }
    });
  });
}

void
SpreadModel::OnConfirmed(std::size_t aNode, bool aPassOn)
{
  if (aPassOn) {
    Notify(aNode, kAgeRecipients);
  }
  ScheduleRead(aNode);
}

void
SpreadModel::PutInForce(std::size_t aNode, std::uint64_t aVersion)
{
  Node& node = mNodes[aNode];
  if (aVersion <= node.mVersion) {
    return;
  }
  // The oldest version that the node did not have is the one that came late.
  mLongestLag =
    std::max(mLongestLag, mNow - mPublishedAt.at(node.mVersion - 1));
  node.mVersion = aVersion;
  Notify(aNode, kVersionRecipients);
}

void
SpreadModel::Notify(std::size_t aNode, std::size_t aRecipients)
{
  const Node& node = mNodes[aNode];
  std::uniform_real_distribution<double> unit(0, 1);
  for (std::size_t i = 0; i < aRecipients && mNodes.size() > 1; ++i) {
    std::size_t to = mRandom() % (mNodes.size() - 1);
    to += to >= aNode ? 1 : 0;
    if (IsAlive(to) && unit(mRandom) >= mSettings.mLoss) {
      At(mNow + Delay(),
         [this,
          to,
          aNode,
          version = node.mVersion,
          sent_at = mNow,
          confirmation = node.mFreshness->Last()]() mutable {
           // The receiver knows only the age.
           confirmation.mAt += mNow - sent_at;
           Receive(to, aNode, version, confirmation);
         });
    }
  }
}

void
SpreadModel::Receive(std::size_t aNode,
                     std::size_t aFrom,
                     std::uint64_t aVersion,
                     const routes::Confirmation& aConfirmation)
{
  if (aVersion > mNodes[aNode].mVersion) {
    if (mSettings.mPulls) {
      At(mNow + Delay(), [this, aNode, aFrom] {
        At(mNow + Delay(), [this, aNode, version = mNodes[aFrom].mVersion] {
          PutInForce(aNode, version);
        });
      });
    }
  } else if (!mSettings.mReadInterval) {
    OnConfirmed(aNode, mNodes[aNode].mFreshness->OnHeard(aConfirmation));
  }
}

std::size_t
SpreadModel::PeakReads() const
{
  std::size_t peak = 0;
  for (auto from = mReads.begin(); from != mReads.end(); ++from) {
    const auto to =
      std::lower_bound(from, mReads.end(), *from + std::chrono::seconds(1));
    peak = std::max(peak, static_cast<std::size_t>(to - from));
  }
  return peak;
}

double
SpreadModel::MeanReads() const
{
  if (mReads.empty()) {
    return 0;
  }
  const std::chrono::duration<double> span = mReads.back() - mReads.front();
  return static_cast<double>(mReads.size()) / std::max(span.count(), 1.0);
}

} // namespace nutmegrock::tests
