#pragma once

#include "transport/Body.h"

#include <functional>

namespace nutmegrock::transport {

/// Forwards a body and calls aOnEnd exactly once: with true after the last
/// chunk, with false after an error or when the reader is destroyed before the
/// end.
BodyReaderPtr
TapBody(BodyReaderPtr aBody, std::function<void(bool)> aOnEnd);

/// A body that starts with aFirst and continues with aRest, unless aFirst is
/// the last chunk.
BodyReaderPtr
PrefixedBody(BodyChunk aFirst, BodyReaderPtr aRest);

} // namespace nutmegrock::transport
