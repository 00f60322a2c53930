#pragma once

#include "tests/transport/Loop.h"
#include "transport/Body.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace nutmegrock::tests {

/// Generates a body of a given size in chunks of a given size, which may fail
/// instead of completing. Counts the bytes read from it.
class GeneratedBody final : public transport::BodyReader
{
public:
  GeneratedBody(std::size_t aSize, std::size_t aChunk, bool aFails = false)
    : mRemaining(aSize)
    , mChunk(aChunk)
    , mFails(aFails)
  {
  }

  void Next(transport::ChunkHandler aHandler) override
  {
    if (mRemaining == 0 && mFails) {
      aHandler(core::Fail(core::ErrorKind::BodyIncomplete, "injected failure"));
      return;
    }
    const std::size_t size = std::min(mRemaining, mChunk);
    mRemaining -= size;
    mBytesRead += size;
    aHandler(transport::BodyChunk{ std::string(size, 'x'),
                                   mRemaining == 0 && !mFails });
  }
  std::size_t BytesRead() const { return mBytesRead; }

private:
  std::size_t mRemaining;
  const std::size_t mChunk;
  const bool mFails;
  std::atomic<std::size_t> mBytesRead{ 0 };
};

/// Returns the whole body, or its error.
inline core::Expected<std::string>
ReadBody(const transport::BodyReaderPtr& aBody)
{
  auto whole = std::make_shared<Awaited<core::Expected<std::string>>>();
  transport::ReadAll(
    aBody, std::size_t{ 1 } << 30, [whole](core::Expected<std::string> aText) {
      whole->Set(std::move(aText));
    });
  return whole->Get().value_or(
    core::Fail(core::ErrorKind::Internal, "the body did not end"));
}

/// Returns the next chunk of a body, or its error.
inline core::Expected<transport::BodyChunk>
ReadChunk(const transport::BodyReaderPtr& aBody)
{
  auto chunk =
    std::make_shared<Awaited<core::Expected<transport::BodyChunk>>>();
  aBody->Next([chunk](core::Expected<transport::BodyChunk> aChunk) {
    chunk->Set(std::move(aChunk));
  });
  return chunk->Get().value_or(
    core::Fail(core::ErrorKind::Internal, "no chunk received"));
}

} // namespace nutmegrock::tests
