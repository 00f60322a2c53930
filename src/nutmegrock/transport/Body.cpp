#include "transport/Body.h"

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::transport {

namespace {

class StringBodyReader final : public BodyReader
{
public:
  explicit StringBodyReader(std::string aBytes)
    : mBytes(std::move(aBytes))
  {
  }

  void Next(ChunkHandler aHandler) override
  {
    aHandler(BodyChunk{ std::move(mBytes), true });
  }

private:
  std::string mBytes;
};

using ReadAllHandler = std::function<void(core::Expected<std::string>)>;

void
ReadRest(const BodyReaderPtr& aBody,
         std::size_t aMaxBytes,
         std::string aSoFar,
         ReadAllHandler aHandler)
{
  BodyReader& reader = *aBody;
  reader.Next(
    [aBody,
     aMaxBytes,
     soFar = std::move(aSoFar),
     handler = std::move(aHandler)](core::Expected<BodyChunk> aChunk) mutable {
      if (!aChunk) {
        handler(tl::make_unexpected(std::move(aChunk.error())));
        return;
      }
      if (soFar.size() + aChunk->mBytes.size() > aMaxBytes) {
        handler(core::Fail(core::ErrorKind::BodyTooLarge,
                           fmt::format("body exceeds {} bytes", aMaxBytes)));
        return;
      }
      soFar += aChunk->mBytes;
      if (aChunk->mLast) {
        handler(std::move(soFar));
        return;
      }
      ReadRest(aBody, aMaxBytes, std::move(soFar), std::move(handler));
    });
}

} // namespace

BodyReaderPtr
StringBody(std::string aBytes)
{
  return std::make_shared<StringBodyReader>(std::move(aBytes));
}

void
ReadAll(const BodyReaderPtr& aBody,
        std::size_t aMaxBytes,
        ReadAllHandler aHandler)
{
  ReadRest(aBody, aMaxBytes, {}, std::move(aHandler));
}

} // namespace nutmegrock::transport
