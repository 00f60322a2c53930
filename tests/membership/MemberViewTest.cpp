#include "membership/MemberView.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::membership;

TEST_CASE("the rank of a member is its position in incarnation order")
{
  MemberView view;
  for (const std::uint64_t bits : { 3, 7, 9 }) {
    Member member;
    member.mIncarnation = { bits };
    view.mMembers.push_back(std::make_shared<const Member>(member));
  }
  CHECK(view.RankOf({ 3 }) == 0);
  CHECK(view.RankOf({ 7 }) == 1);
  CHECK(view.RankOf({ 9 }) == 2);
  // A node that is not in its own view.
  CHECK(view.RankOf({ 8 }) == 2);
  CHECK(view.Find({ 7 })->mIncarnation == core::Incarnation{ 7 });
  CHECK(view.Find({ 8 }) == nullptr);
}
