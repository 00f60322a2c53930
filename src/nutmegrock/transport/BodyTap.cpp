#include "transport/BodyTap.h"

#include <atomic>
#include <utility>

namespace nutmegrock::transport {

namespace {

class TapReader final
  : public BodyReader
  , public std::enable_shared_from_this<TapReader>
{
public:
  TapReader(BodyReaderPtr aBody, std::function<void(bool)> aOnEnd)
    : mBody(std::move(aBody))
    , mOnEnd(std::move(aOnEnd))
  {
  }

  ~TapReader() override { End(false); }

  void Next(ChunkHandler aHandler) override
  {
    mBody->Next([self = shared_from_this(), handler = std::move(aHandler)](
                  core::Expected<BodyChunk> aChunk) {
      if (!aChunk) {
        self->End(false);
      } else if (aChunk->mLast) {
        self->End(true);
      }
      handler(std::move(aChunk));
    });
  }

private:
  void End(bool aComplete)
  {
    if (!mEnded.exchange(true)) {
      mOnEnd(aComplete);
    }
  }

  BodyReaderPtr mBody;
  std::function<void(bool)> mOnEnd;
  std::atomic<bool> mEnded{ false };
};

class PrefixedReader final : public BodyReader
{
public:
  PrefixedReader(BodyChunk aFirst, BodyReaderPtr aRest)
    : mFirst(std::move(aFirst))
    , mRest(std::move(aRest))
  {
  }

  void Next(ChunkHandler aHandler) override
  {
    if (!mFirstDelivered) {
      mFirstDelivered = true;
      aHandler(std::move(mFirst));
      return;
    }
    mRest->Next(std::move(aHandler));
  }

private:
  BodyChunk mFirst;
  BodyReaderPtr mRest;
  bool mFirstDelivered = false;
};

} // namespace

BodyReaderPtr
TapBody(BodyReaderPtr aBody, std::function<void(bool)> aOnEnd)
{
  return std::make_shared<TapReader>(std::move(aBody), std::move(aOnEnd));
}

BodyReaderPtr
PrefixedBody(BodyChunk aFirst, BodyReaderPtr aRest)
{
  return std::make_shared<PrefixedReader>(std::move(aFirst), std::move(aRest));
}

} // namespace nutmegrock::transport
