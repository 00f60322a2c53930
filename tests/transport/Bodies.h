#pragma once

#include "tests/transport/Loop.h"
#include "transport/Body.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace nutmegrock::tests {

/// A body of a given size in chunks of a given size, that may fail in place of
/// its end. Counts the bytes taken from it.
class MadeBody final : public transport::BodyReader
{
public:
  MadeBody(std::size_t aSize, std::size_t aChunk, bool aFails = false)
    : mLeft(aSize)
    , mChunk(aChunk)
    , mFails(aFails)
  {
  }

  void Next(transport::ChunkHandler aHandler) override
  {
    if (mLeft == 0 && mFails) {
      aHandler(core::Fail(core::ErrorKind::BodyIncomplete, "made to fail"));
      return;
    }
    const std::size_t size = std::min(mLeft, mChunk);
    mLeft -= size;
    mTaken += size;
    aHandler(
      transport::BodyChunk{ std::string(size, 'x'), mLeft == 0 && !mFails });
  }
  std::size_t Taken() const { return mTaken; }

private:
  std::size_t mLeft;
  const std::size_t mChunk;
  const bool mFails;
  std::atomic<std::size_t> mTaken{ 0 };
};

/// The whole body, or its error.
inline core::Expected<std::string>
Whole(const transport::BodyReaderPtr& aBody)
{
  auto whole = std::make_shared<Awaited<core::Expected<std::string>>>();
  transport::ReadAll(
    aBody, std::size_t{ 1 } << 30, [whole](core::Expected<std::string> aText) {
      whole->Set(std::move(aText));
    });
  return whole->Get().value_or(
    core::Fail(core::ErrorKind::Internal, "the body did not end"));
}

/// The next chunk of a body, or its error.
inline core::Expected<transport::BodyChunk>
NextOf(const transport::BodyReaderPtr& aBody)
{
  auto chunk =
    std::make_shared<Awaited<core::Expected<transport::BodyChunk>>>();
  aBody->Next([chunk](core::Expected<transport::BodyChunk> aChunk) {
    chunk->Set(std::move(aChunk));
  });
  return chunk->Get().value_or(
    core::Fail(core::ErrorKind::Internal, "no chunk came"));
}

} // namespace nutmegrock::tests
