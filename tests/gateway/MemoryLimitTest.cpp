#include "gateway/MemoryLimit.h"

#include <doctest/doctest.h>

using namespace nutmegrock::gateway;

// Guards against buffers that outgrow the smallest machine.
TEST_CASE("the limit of buffers follows the setting, else the smallest machine")
{
  constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
  CHECK(BufferLimitFor(160) == 32 * kMegabyte);
  CHECK(BufferLimitFor(1000) == 200 * kMegabyte);
  CHECK(BufferLimitFor(0) == 32 * kMegabyte);
}
