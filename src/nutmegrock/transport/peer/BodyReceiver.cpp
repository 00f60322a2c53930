#include "transport/peer/BodyReceiver.h"

#include "transport/peer/PeerLimits.h"

#include <utility>

namespace nutmegrock::transport::peer {

namespace {

// Minimum credit to grant at once, so that not each small chunk costs a frame.
constexpr std::size_t kMinCreditBytes = kWindowBytes / 4;

} // namespace

BodyReceiver::BodyReceiver(std::string aFirstBytes,
                           CreditHandler aCredit,
                           std::function<void()> aOnDropped)
  : mCredit(std::move(aCredit))
  , mOnDropped(std::move(aOnDropped))
  , mBuffer(std::move(aFirstBytes))
  , mAvailableCredit(kWindowBytes - std::min(mBuffer.size(), kWindowBytes))
{
}

BodyReceiver::~BodyReceiver()
{
  if (!mReadToEnd && !mError && mOnDropped) {
    mOnDropped();
  }
}

std::optional<core::Expected<BodyChunk>>
BodyReceiver::Take(std::size_t& aCredit)
{
  if (mError) {
    return tl::make_unexpected(*mError);
  }
  if (mBuffer.empty() && !mHasLast) {
    return std::nullopt;
  }
  mReadToEnd = mHasLast;
  mPendingCredit += mBuffer.size();
  if (!mHasLast && mPendingCredit >= kMinCreditBytes) {
    aCredit = std::exchange(mPendingCredit, 0);
    mAvailableCredit += aCredit;
  }
  return BodyChunk{ std::exchange(mBuffer, {}), mHasLast };
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
      mHandler = std::move(aHandler);
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
    if (mHasLast || aChunk.mBytes.size() > mAvailableCredit) {
      return false;
    }
    mAvailableCredit -= aChunk.mBytes.size();
    if (mBuffer.empty()) {
      mBuffer = std::move(aChunk.mBytes);
    } else {
      mBuffer += aChunk.mBytes;
    }
    mHasLast = aChunk.mLast;
    if (mHandler) {
      taken = Take(credit);
    }
    if (!taken) {
      return true;
    }
    handler = std::exchange(mHandler, {});
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
    mBuffer.clear();
    mError = aError;
    handler = std::exchange(mHandler, {});
  }
  if (handler) {
    handler(tl::make_unexpected(std::move(aError)));
  }
}

std::size_t
BodyReceiver::BufferedBytes() const
{
  const std::lock_guard lock(mMutex);
  return mBuffer.size();
}

} // namespace nutmegrock::transport::peer
