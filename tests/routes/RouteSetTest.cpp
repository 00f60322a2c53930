#include "routes/RouteSet.h"
#include "routes/ActiveRoutes.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::routes;

namespace {

Route
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.mName = aName;
  route.mHost = "shop.example";
  route.mPathPrefix = aPrefix;
  route.mTargets = { { "till", 1 } };
  route.mTimeout = std::chrono::milliseconds(800);
  return route;
}

RouteSetSource
MakeSource(std::uint64_t aVersion)
{
  RouteSetSource source;
  source.mVersion = aVersion;
  source.mServices = { { "till", "/health", 100 } };
  source.mRoutes = { MakeRoute("all", "/"),
                     MakeRoute("pay", "/pay/"),
                     MakeRoute("card", "/pay/card/") };
  return source;
}

} // namespace

TEST_CASE("the longest prefix that begins the path wins")
{
  const auto set = *RouteSet::Create(MakeSource(1));
  struct Case
  {
    const char* mHost;
    const char* mTarget;
    const char* mRoute;
  };
  const Case cases[] = {
    { "shop.example", "/pay/card/7", "card" },
    { "shop.example", "/pay/card", "pay" },
    { "shop.example", "/pay/", "pay" },
    { "shop.example", "/payment/", "all" },
    { "SHOP.example:8080", "/pay/x?y=/pay/card/", "pay" },
    { "shop.example", "/?a=/pay/", "all" },
    { "other.example", "/pay/", nullptr },
    { "shop.example", "pay/", nullptr },
    { "shop.example", "", nullptr },
  };
  for (const Case& expected : cases) {
    CAPTURE(expected.mTarget);
    const Route* found = set->Find(expected.mHost, expected.mTarget);
    if (expected.mRoute == nullptr) {
      CHECK(found == nullptr);
    } else {
      REQUIRE(found != nullptr);
      CHECK(found->mName == expected.mRoute);
    }
  }
}

TEST_CASE("a route is found by its exact name, with all its services")
{
  RouteSetSource source = MakeSource(1);
  source.mServices.push_back({ "till-next", "/health", 100 });
  source.mRoutes[1].mTargets.push_back({ "till-next", 3 });
  const auto set = *RouteSet::Create(source);
  for (const Route& route : set->Routes()) {
    CAPTURE(route.mName);
    CHECK(set->FindByName(route.mName) == &route);
  }
  const Route* split = set->FindByName("pay");
  REQUIRE(split != nullptr);
  CHECK(*split == source.mRoutes[1]);
  CHECK(split == set->Find("shop.example", "/pay/"));
  for (const char* unknown : { "", "pa", "pay ", "Pay", "/pay/", "till" }) {
    CAPTURE(unknown);
    CHECK(set->FindByName(unknown) == nullptr);
  }
}

TEST_CASE("an invalid set is refused with its error")
{
  struct Case
  {
    const char* mText;
    void (*mInvalidate)(RouteSetSource&);
  };
  const Case cases[] = {
    { "no version", [](RouteSetSource& aSet) { aSet.mVersion = 0; } },
    { "has no name", [](RouteSetSource& aSet) { aSet.mRoutes[1].mName = ""; } },
    { "has no host", [](RouteSetSource& aSet) { aSet.mRoutes[1].mHost = ""; } },
    { "must begin and end with /",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mPathPrefix = "/pay"; } },
    { "has no service",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mTargets.clear(); } },
    { "the weight 0",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mTargets[0].mWeight = 0; } },
    { "not described",
      [](RouteSetSource& aSet) {
        aSet.mRoutes[1].mTargets[0].mService = "x";
      } },
    { "has no time limit",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mTimeout = {}; } },
    { "allows no attempt",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mMaxAttempts = 0; } },
    { "two routes are named",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mName = "all"; } },
    { "two routes have host",
      [](RouteSetSource& aSet) { aSet.mRoutes[1].mPathPrefix = "/"; } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.mText);
    RouteSetSource source = MakeSource(1);
    entry.mInvalidate(source);
    const auto set = RouteSet::Create(source);
    REQUIRE(!set.has_value());
    CHECK(set.error().mKind == core::ErrorKind::InvalidProfiles);
    CHECK(set.error().mMessage.find(entry.mText) != std::string::npos);
  }
}

TEST_CASE("a skipped route covers its prefix and no other")
{
  RouteSetSource source = MakeSource(1);
  source.mSkippedRoutes = { { "shop.example", "/pay/gift/", "odd" },
                            { "shop.example", "/pay/", "twice" },
                            { "other.example", "/", "odd" },
                            { "third.example", "", "no prefix" } };
  const auto set = *RouteSet::Create(source);
  CHECK(set->IsSkipped("Shop.example:80", "/pay/gift/1"));
  CHECK(set->Find("shop.example", "/pay/gift/1") == nullptr);
  CHECK(!set->IsSkipped("shop.example", "/pay/1"));
  CHECK(set->Find("shop.example", "/pay/1")->mName == "pay");
  CHECK(set->IsSkipped("other.example", "/x"));
  CHECK(!set->IsSkipped("third.example", "/x"));
  CHECK(set->FindByName("") == nullptr);
}

// Guards against a key that another tenant, or none, is identified by.
TEST_CASE("a tenant is found by the digest of each of its keys and by its name")
{
  RouteSetSource source = MakeSource(1);
  CHECK(!(*RouteSet::Create(source))->NeedsKeys());
  source.mTenants = { { "a", { "d1", "d2" }, 1, 10, 5 },
                      { "b", { "d2", "d3" }, std::nullopt, 0, 0 },
                      { "revoked", {}, std::nullopt, 0, 0 } };
  const auto set = *RouteSet::Create(source);
  CHECK(set->NeedsKeys());
  CHECK(*set->FindTenant("d1") == source.mTenants[0]);
  CHECK(set->FindTenant("d2")->mName == "a");
  CHECK(set->FindTenant("d3")->mName == "b");
  for (const char* unknown : { "", "d", "d4", "a", "D1" }) {
    CHECK(set->FindTenant(unknown) == nullptr);
  }
  CHECK(*set->FindTenantByName("revoked") == source.mTenants[2]);
  CHECK(set->FindTenantByName("d1") == nullptr);
  // Tenants that could not be read still make keys necessary.
  RouteSetSource unreadable = MakeSource(1);
  unreadable.mNeedsKeys = true;
  CHECK((*RouteSet::Create(unreadable))->NeedsKeys());
}

TEST_CASE("a tenant whose name no header can have is refused")
{
  for (const std::string& name : { std::string(),
                                   std::string(" a"),
                                   std::string("a "),
                                   std::string("a\r\nX: 1"),
                                   std::string("a\0b", 3),
                                   std::string("\x7f"),
                                   std::string(257, 'a') }) {
    RouteSetSource source = MakeSource(1);
    source.mTenants = { { name, {}, std::nullopt, 0, 0 } };
    CHECK(!RouteSet::Create(source).has_value());
    source.mTenants = { { "a", {}, std::nullopt, 0, 0 },
                        { "a", {}, std::nullopt, 0, 0 } };
    CHECK(!RouteSet::Create(source).has_value());
  }
  CHECK(IsValidTenantName("Blue Whale; 100%"));
}

// Guards against a late response of the store reverting to an older version.
TEST_CASE("the version in force never decreases")
{
  ActiveRoutes active;
  int changes = 0;
  active.OnChange([&changes](const RouteSetPtr&) { ++changes; });
  CHECK(active.Activate(*RouteSet::Create(MakeSource(5))));
  CHECK(!active.Activate(*RouteSet::Create(MakeSource(4))));
  CHECK(!active.Activate(*RouteSet::Create(MakeSource(5))));
  CHECK(!active.Activate(nullptr));
  CHECK(active.Version() == 5);
  CHECK(active.Activate(*RouteSet::Create(MakeSource(9))));
  CHECK(active.Current()->Version() == 9);
  CHECK(changes == 2);
}
