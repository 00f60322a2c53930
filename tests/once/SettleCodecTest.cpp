#include "once/SettleCodec.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

using namespace nutmegrock;
using namespace nutmegrock::once;

namespace {

/// Highest resident memory of this process so far, in KB.
long
PeakMemory()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

} // namespace

TEST_CASE("a settle response is read as it was written")
{
  const Outcome outcome{ 201, { { "a", "b" }, { "", "" } }, "paid", true };
  const std::string bytes = EncodeSettle(
    { SettleState::Done, std::make_shared<const Outcome>(outcome) });
  const auto response = DecodeSettle(bytes);
  REQUIRE(response.has_value());
  CHECK(response->mState == SettleState::Done);
  REQUIRE(response->mOutcome != nullptr);
  CHECK(*response->mOutcome == outcome);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(!DecodeSettle(bytes.substr(0, size)).has_value());
  }
}

// Guards against a short message of another node that takes memory for a count
// of headers it does not hold, or ends the process when there is not enough.
TEST_CASE("a settle response with a count beyond its length is refused")
{
  constexpr long kMaxGrowth = 65536;
  const std::string bytes =
    EncodeSettle({ SettleState::Done,
                   std::make_shared<const Outcome>(
                     Outcome{ 200, { { "name", "value" } }, "paid", true }) });
  // The list has its length and type in one byte, and a longer length in a
  // variable-length integer after it.
  const std::size_t list = bytes.find("name") - 3;
  REQUIRE(bytes.at(list) == '\x1c');
  std::string forged = bytes;
  forged.replace(list, 1, "\xfc\x80\xad\xe2\x04");
  const long before = PeakMemory();
  const auto response = DecodeSettle(forged);
  REQUIRE(!response.has_value());
  CHECK(response.error().mKind == core::ErrorKind::ProtocolError);
  CHECK(PeakMemory() - before < kMaxGrowth);
}
