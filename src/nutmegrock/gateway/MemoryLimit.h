#pragma once

#include <cstddef>

namespace nutmegrock::gateway {

/// Has the memory of large buffers returned to the system as soon as they are
/// freed, for the whole process.
void
ReturnLargeBuffers();

/// Memory in bytes that requests and responses in transit may take, given the
/// setting in MB, 0 if absent.
std::size_t
BufferLimitFor(std::size_t aMemoryMb);

} // namespace nutmegrock::gateway
