#include "gateway/DescriptorLimit.h"

#include <doctest/doctest.h>
#include <initializer_list>
#include <sys/resource.h>

using namespace nutmegrock::gateway;

// Guards against a node that holds more connections than it may have file
// descriptors, and then serves nobody.
TEST_CASE("connections leave file descriptors for what requests need")
{
  for (const std::size_t descriptors : { std::size_t{ 256 },
                                         std::size_t{ 1024 },
                                         std::size_t{ 4096 },
                                         std::size_t{ 1048576 } }) {
    CAPTURE(descriptors);
    const ConnectionLimits limits = ConnectionLimitsFor(descriptors);
    CHECK(4 * limits.mTraffic + 3 * limits.mControl + 100 <= descriptors);
    CHECK(limits.mTraffic >= 16);
    CHECK(limits.mControl >= 16);
  }
  CHECK(ConnectionLimitsFor(1'048'576) == ConnectionLimits{ 2'000, 2'000 });
  CHECK(ConnectionLimitsFor(0) == ConnectionLimits{ 16, 16 });
}

TEST_CASE("the limit on file descriptors is raised to the hard limit")
{
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  rlimit lowered = before;
  lowered.rlim_cur = before.rlim_cur / 2;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  const DescriptorLimit raised = RaiseDescriptorLimit();
  CHECK(raised.mInitial == lowered.rlim_cur);
  CHECK(raised.mSoft == before.rlim_max);
  CHECK(raised.mHard == before.rlim_max);
  CHECK(ReadDescriptorLimit().mSoft == before.rlim_max);
  ::setrlimit(RLIMIT_NOFILE, &before);
}
