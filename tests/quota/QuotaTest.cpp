#include "quota/AllowanceClient.h"
#include "quota/AllowanceOwner.h"
#include "quota/TakeMessage.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::quota;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };
constexpr core::Incarnation kSelf{ 1 };

OwnerView
ViewOf(std::size_t aMembers)
{
  OwnerView view;
  for (std::size_t i = 1; i <= aMembers; ++i) {
    view.mCandidates.push_back({ { i }, 0 });
  }
  view.mAlive = aMembers;
  return view;
}

/// A client alone with its owner, which the test plays.
struct Alone
{
  Alone()
    : mClient(kSelf, 7)
  {
    mClient.SetLimits(kStart, { { "t", 10, 10 } });
    mClient.OnView(kStart, ViewOf(1), true);
  }
  std::uint64_t Take(core::TimePoint aNow)
  {
    return mClient.Take(aNow, "t", [this](const AllowanceDecision& aDecision) {
      mDecisions.push_back(aDecision);
    });
  }
  void Answer(core::TimePoint aNow, std::uint32_t aGranted, int aRetryMs = 0)
  {
    for (const AllowanceAsk& ask : mClient.NextAsks(aNow)) {
      mClient.OnResponse(
        aNow,
        ask.mId,
        { false, { { true, aGranted, milliseconds(aRetryMs), 0 } } });
    }
  }

  AllowanceClient mClient;
  std::vector<AllowanceDecision> mDecisions;
};

} // namespace

TEST_CASE("a bucket grants its burst and then its rate")
{
  TokenBucket bucket(kStart, 10, 5);
  CHECK(bucket.Take(kStart, 1) == 0);
  CHECK(bucket.Take(kStart + milliseconds(100), 3) == 1);
  CHECK(bucket.Take(kStart + milliseconds(60'000), 9) == 5);
  CHECK(bucket.TimeUntil(kStart + milliseconds(60'000), 1) ==
        milliseconds(100));
  // A lower limit cuts the tokens at once.
  bucket.SetLimits(kStart + milliseconds(90'000), 1, 2);
  CHECK(bucket.Take(kStart + milliseconds(90'000), 9) == 2);
}

// Guards against small buckets of many nodes that each save up a whole token.
TEST_CASE("parts of tokens are granted at the rate on average")
{
  TokenBucket bucket(kStart, 0.2, 0.1);
  membership::Random random(3);
  int granted = 0;
  for (int i = 0; i < 40'000; ++i) {
    granted +=
      bucket.TakeFraction(kStart + milliseconds(100) * i, random.Unit());
  }
  CHECK(granted == doctest::Approx(800).epsilon(0.1));
}

// Guards against owners that change whenever any node joins.
TEST_CASE("members that join later do not take tenants")
{
  OwnerChoice before;
  before.SetView(kStart, ViewOf(20));
  OwnerView view = ViewOf(20);
  view.mCandidates.push_back({ { 99 }, 5 });
  OwnerChoice after;
  after.SetView(kStart, view);
  std::map<std::uint64_t, int> owned;
  for (int i = 0; i < 200; ++i) {
    const std::string tenant = "tenant-" + std::to_string(i);
    CHECK(before.OwnerOf(tenant) == after.OwnerOf(tenant));
    ++owned[before.OwnerOf(tenant).mBits];
  }
  CHECK(owned.size() == OwnerChoice::kMaxOwners);
  after.AddLeaving(before.OwnerOf("tenant-0"));
  CHECK(after.OwnerOf("tenant-0") != before.OwnerOf("tenant-0"));
}

// Guards against a node that owns tenants while it is cut off.
TEST_CASE("a node that sees fewer than half of the members owns nothing")
{
  OwnerChoice choice;
  choice.SetView(kStart, ViewOf(10));
  choice.SetView(kStart + milliseconds(30'000), ViewOf(5));
  CHECK(!choice.IsMinority(kStart + milliseconds(31'000)));
  choice.SetView(kStart + milliseconds(32'000), ViewOf(4));
  CHECK(choice.IsMinority(kStart + milliseconds(60'000)));
  CHECK(!choice.IsMinority(kStart + milliseconds(93'000)));
}

// Guards against tokens that are spent long after they were granted.
TEST_CASE("grants lapse, and unused tokens can be returned until then")
{
  Alone alone;
  CHECK(alone.Take(kStart) != 0);
  alone.Answer(kStart, 2);
  REQUIRE(alone.mDecisions.size() == 1);
  CHECK(alone.mDecisions[0].mGranted);
  CHECK(alone.Take(kStart + milliseconds(299)) == 0);
  alone.mClient.Return(
    kStart + milliseconds(299), "t", alone.mDecisions[1].mReturnableUntil);
  CHECK(alone.Take(kStart + milliseconds(299)) == 0);
  alone.mClient.Return(
    kStart + milliseconds(300), "t", alone.mDecisions[1].mReturnableUntil);
  CHECK(alone.Take(kStart + milliseconds(300)) != 0);
}

TEST_CASE("a request that is cancelled leaves its token to the next one")
{
  Alone alone;
  alone.mClient.Cancel(alone.Take(kStart));
  const std::uint64_t ticket = alone.Take(kStart);
  const auto asks = alone.mClient.NextAsks(kStart);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].mRequest.mItems[0].mWaiting == 1);
  alone.mClient.Cancel(ticket);
  alone.mClient.OnResponse(
    kStart, asks[0].mId, { false, { { true, 1, milliseconds(0), 0 } } });
  CHECK(alone.mDecisions.empty());
  CHECK(alone.Take(kStart) == 0);
  CHECK(alone.mDecisions.at(0).mGranted);
}

// Guards against a message for each refused request.
TEST_CASE("a refusal holds until the time that the owner named")
{
  Alone alone;
  alone.Take(kStart);
  alone.Answer(kStart, 0, 100);
  CHECK(!alone.mDecisions.at(0).mGranted);
  CHECK(alone.mDecisions[0].mRetryAfter == milliseconds(100));
  CHECK(alone.Take(kStart + milliseconds(40)) == 0);
  CHECK(alone.mDecisions.at(1).mSource == AllowanceSource::Refusal);
  CHECK(alone.mDecisions[1].mRetryAfter == milliseconds(60));
  CHECK(!alone.mClient.HasAsks());
  CHECK(alone.Take(kStart + milliseconds(100)) != 0);
}

// Guards against two buckets while views differ.
TEST_CASE("a member that has ceded its tenants does not grant")
{
  AllowanceOwner owner(kStart, kSelf);
  OwnerChoice choice;
  choice.SetView(kStart, ViewOf(1));
  owner.SetLimits(kStart, { { "t", 10, 10 } });
  owner.OnView(kStart, choice, true);
  const core::TimePoint now = kStart + milliseconds(2'000);
  const TakeRequest request{ TakeState::Normal, {}, { { "t", 1, 0 } } };
  CHECK(owner.Take(now, { 2 }, request).mGrants.at(0).mGranted == 1);
  owner.Cede(now, { 2 }, { { 2 } });
  CHECK(!owner.Take(now, { 2 }, request).mGrants.at(0).mOwned);
  owner.StartLeaving();
  CHECK(owner.Take(now, { 2 }, request).mLeaving);
}

TEST_CASE("messages are read as they were written")
{
  const TakeRequest request{ TakeState::Fallback,
                             { { 0xabc } },
                             { { "a b, c", 3, 0 }, { "x", 0, 7 } } };
  CHECK(DecodeTakeRequest(Encode(request)).value() == request);
  const TakeResponse response{ true,
                               { { true, 4, milliseconds(20), 999 }, {} } };
  CHECK(DecodeTakeResponse(Encode(response)).value() == response);
  for (const char* text :
       { "", "1", "2 owner", "1 owner\n1 2", "1 owner\n1 x 3" }) {
    CAPTURE(text);
    CHECK(!DecodeTakeResponse(text).has_value());
  }
}
