#include "gateway/MemoryLimit.h"

#include <malloc.h>

namespace nutmegrock::gateway {

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/// Memory of the smallest machine of a node. What the system reports may be the
/// memory of a host that many nodes share.
constexpr std::size_t kDefaultMemoryMb = 160;
/// Control work takes up to 128 MB at full size, so the smallest machine has 32
/// MB for requests.
constexpr std::size_t kBufferDivisor = 5;
/// Buffers from this size in bytes on are returned. Without a fixed size the
/// allocator keeps larger and larger ones, and bodies that grow leave holes:
/// 700 bodies of 190 KB took 173 MB with a limit of 102 MB, and 156 MB with it.
constexpr int kLargeBuffer = 128 * 1024;

} // namespace

void
ReturnLargeBuffers()
{
  mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
}

std::size_t
BufferLimitFor(std::size_t aMemoryMb)
{
  return (aMemoryMb > 0 ? aMemoryMb : kDefaultMemoryMb) * kMegabyte /
         kBufferDivisor;
}

} // namespace nutmegrock::gateway
