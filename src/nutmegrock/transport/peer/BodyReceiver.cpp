#include "transport/peer/BodyReceiver.h"

#include "transport/peer/PeerLimits.h"

#include <utility>

namespace nutmegrock::transport::peer {

namespace {

// Credit is sent in portions, not for each small chunk.
constexpr std::size_t kCreditPortion = kWindowBytes / 4;

} // namespace

BodyReceiver::BodyReceiver(std::string aFirstBytes,
                           CreditHook aCredit,
                           std::function<void()> aDropped)
  : mCredit(std::move(aCredit))
  , mDropped(std::move(aDropped))
  , mHeld(std::move(aFirstBytes))
  , mRoom(kWindowBytes - std::min(mHeld.size(), kWindowBytes))
{
}

BodyReceiver::~BodyReceiver()
{
  if (!mTakenToEnd && !mError && mDropped) {
    mDropped();
  }
}

std::optional<core::Expected<BodyChunk>>
BodyReceiver::Take(std::size_t& aCredit)
{
  if (mError) {
    return tl::make_unexpected(*mError);
  }
  if (mHeld.empty() && !mHasLast) {
    return std::nullopt;
  }
  mTakenToEnd = mHasLast;
  mOwed += mHeld.size();
  if (!mHasLast && mOwed >= kCreditPortion) {
    aCredit = std::exchange(mOwed, 0);
    mRoom += aCredit;
  }
  return BodyChunk{ std::exchange(mHeld, {}), mHasLast };
}

void
BodyReceiver::Next(ChunkHandler aHandler)
{
  std::size_t credit = 0;
  std::optional<core::Expected<BodyChunk>> taken;
  {
    const std::lock_guard lock(mMutex);
    taken = Take(credit);
    if (!taken) {
      mWaiting = std::move(aHandler);
      return;
    }
  }
  if (credit > 0) {
    mCredit(credit);
  }
  aHandler(std::move(*taken));
}

bool
BodyReceiver::Push(BodyChunk aChunk)
{
  std::size_t credit = 0;
  std::optional<core::Expected<BodyChunk>> taken;
  ChunkHandler handler;
  {
    const std::lock_guard lock(mMutex);
    if (mHasLast || aChunk.mBytes.size() > mRoom) {
      return false;
    }
    mRoom -= aChunk.mBytes.size();
    if (mHeld.empty()) {
      mHeld = std::move(aChunk.mBytes);
    } else {
      mHeld += aChunk.mBytes;
    }
    mHasLast = aChunk.mLast;
    if (mWaiting) {
      taken = Take(credit);
    }
    if (!taken) {
      return true;
    }
    handler = std::exchange(mWaiting, {});
  }
  if (credit > 0) {
    mCredit(credit);
  }
  handler(std::move(*taken));
  return true;
}

void
BodyReceiver::Fail(core::Error aError)
{
  ChunkHandler handler;
  {
    const std::lock_guard lock(mMutex);
    if (mHasLast || mError) {
      return;
    }
    mHeld.clear();
    mError = aError;
    handler = std::exchange(mWaiting, {});
  }
  if (handler) {
    handler(tl::make_unexpected(std::move(aError)));
  }
}

std::size_t
BodyReceiver::Held() const
{
  const std::lock_guard lock(mMutex);
  return mHeld.size();
}

} // namespace nutmegrock::transport::peer
