#include "tests/membership/Mesh.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

/// A mesh of aCount nodes that all know each other.
std::unique_ptr<Mesh>
Formed(std::size_t aCount, std::uint64_t aSeed)
{
  auto mesh = std::make_unique<Mesh>(aSeed);
  mesh->AddMany(aCount);
  mesh->Until([&] { return mesh->AllAgree(); }, 120s);
  REQUIRE(mesh->AllAgree());
  mesh->Advance(30s);
  return mesh;
}

} // namespace

TEST_SUITE("membership/faults")
{
  TEST_CASE("a killed node is dropped from all views within seconds")
  {
    for (const std::size_t count : { 5, 18, 60 }) {
      CAPTURE(count);
      const auto mesh = Formed(count, count);
      mesh->Kill(2);
      const auto took = mesh->Until([&] { return mesh->Seeing(2) == 0; }, 60s);
      CAPTURE(took / 1ms);
      CHECK(mesh->AllAgree());
      CHECK(took <= 20s);
    }
  }
}
