#include "transport/peer/BodySender.h"

#include "transport/peer/PeerLimits.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace nutmegrock::transport::peer {

BodySender::BodySender(boost::asio::any_io_executor aExecutor,
                       BodyReaderPtr aBody,
                       Emit aEmit)
  : mExecutor(std::move(aExecutor))
  , mBody(std::move(aBody))
  , mEmit(std::move(aEmit))
  , mCredit(kWindowBytes)
{
}

BodyChunk
BodySender::SplitFirst(BodyChunk aChunk)
{
  if (aChunk.mBytes.size() <= kChunkBytes) {
    mCredit -= aChunk.mBytes.size();
    return aChunk;
  }
  BodyChunk first{ aChunk.mBytes.substr(0, kChunkBytes), false };
  mCredit -= kChunkBytes;
  mSent = kChunkBytes;
  mChunk = std::move(aChunk);
  return first;
}

void
BodySender::Start()
{
  mStarted = true;
  SendChunks();
}

void
BodySender::Stop()
{
  mEmit = {};
  if (!mPulling) {
    mBody.reset();
  }
}

bool
BodySender::AddCredit(std::int64_t aBytes)
{
  if (aBytes <= 0 ||
      static_cast<std::uint64_t>(aBytes) > kWindowBytes - mCredit) {
    return false;
  }
  mCredit += static_cast<std::size_t>(aBytes);
  SendChunks();
  return true;
}

void
BodySender::SendChunks()
{
  while (mEmit && mStarted && !mPulling) {
    const std::size_t left = mChunk.mBytes.size() - mSent;
    if (left == 0 && !mChunk.mLast) {
      if (mCredit > 0) {
        Pull();
      }
      return;
    }
    const std::size_t size = std::min({ left, mCredit, kChunkBytes });
    if (left > 0 && size == 0) {
      return;
    }
    BodyChunk chunk{ mChunk.mBytes.substr(mSent, size),
                     mChunk.mLast && size == left };
    mSent += size;
    mCredit -= size;
    if (!chunk.mLast) {
      mEmit(std::move(chunk));
      continue;
    }
    const Emit emit = std::exchange(mEmit, {});
    mBody.reset();
    emit(std::move(chunk));
  }
}

void
BodySender::Pull()
{
  mPulling = true;
  // Posted, since a body that is already in memory would otherwise recurse once
  // per chunk.
  mBody->Next([self = shared_from_this()](core::Expected<BodyChunk> aChunk) {
    boost::asio::post(self->mExecutor,
                      [self, chunk = std::move(aChunk)]() mutable {
                        self->mPulling = false;
                        self->OnChunk(std::move(chunk));
                      });
  });
}

void
BodySender::OnChunk(core::Expected<BodyChunk> aChunk)
{
  if (!mEmit) {
    mBody.reset();
    return;
  }
  if (!aChunk) {
    const Emit emit = std::exchange(mEmit, {});
    mBody.reset();
    emit(tl::make_unexpected(std::move(aChunk.error())));
    return;
  }
  mChunk = std::move(*aChunk);
  mSent = 0;
  SendChunks();
}

} // namespace nutmegrock::transport::peer
