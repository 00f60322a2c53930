#pragma once

#include "transport/Body.h"

#include <functional>

namespace nutmegrock::transport {

/// A body that passes another one through and calls aOnEnd exactly once: with
/// true after the last chunk, with false after an error or when the reader is
/// dropped before the end.
BodyReaderPtr
TapBody(BodyReaderPtr aBody, std::function<void(bool)> aOnEnd);

/// A body that starts with aFirst and goes on with aRest, unless aFirst is the
/// last chunk.
BodyReaderPtr
PrefixedBody(BodyChunk aFirst, BodyReaderPtr aRest);

} // namespace nutmegrock::transport
