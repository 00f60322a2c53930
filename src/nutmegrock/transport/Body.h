#pragma once

#include "core/Error.h"

#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::transport {

/// Part of a body. Only a chunk with mLast set completes a body; a body that
/// ends otherwise is incomplete.
struct BodyChunk
{
  std::string mBytes;
  bool mLast = false;
};

using ChunkHandler = std::function<void(core::Expected<BodyChunk>)>;

/// A body that is pulled chunk by chunk, so that a slow receiver applies back
/// pressure to the sender and no body is buffered as a whole. At most one
/// Next() may be outstanding, and none may follow the last chunk or an error.
/// The handler may run on any thread, also before Next() returns.
class BodyReader
{
public:
  BodyReader() = default;
  BodyReader(const BodyReader&) = delete;
  BodyReader& operator=(const BodyReader&) = delete;
  virtual ~BodyReader() = default;

  virtual void Next(ChunkHandler aHandler) = 0;
};

using BodyReaderPtr = std::shared_ptr<BodyReader>;

/// A body that is already in memory.
BodyReaderPtr
StringBody(std::string aBytes);

/// Reads a whole body of at most aMaxBytes. Fails with BodyTooLarge if it is
/// longer, or with the reader's error.
void
ReadAll(const BodyReaderPtr& aBody,
        std::size_t aMaxBytes,
        std::function<void(core::Expected<std::string>)> aHandler);

} // namespace nutmegrock::transport
