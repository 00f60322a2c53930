#pragma once

#include "store/http/HttpObjectStore.h"
#include "store/http/HttpTableService.h"
#include "tests/store/FakePlatform.h"
#include "tests/store/StandInPlatform.h"

#include <doctest/doctest.h>
#include <functional>

namespace nutmegrock::tests {

/// Time limit of requests whose answer is withheld or delayed on purpose.
constexpr std::chrono::milliseconds kShortTimeout{ 2000 };

/// One implementation of both ports with the state behind it.
struct Subject
{
  store::TableService& mTable;
  store::ObjectStore& mObjects;
  standins::PlatformState& mState;
};

/// Runs a contract test against the in-memory fake and against the HTTP
/// adapters with the stand-in server.
inline void
ForEachSubject(const std::function<void(const Subject&)>& aTest)
{
  SUBCASE("in-memory fake")
  {
    FakePlatform fake;
    aTest({ fake, fake, fake.State() });
  }
  SUBCASE("HTTP adapter and stand-in server")
  {
    StandInPlatform server;
    const store::http::StoreSettings settings{ .mUrl = server.Url(),
                                               .mTimeout = kShortTimeout };
    const auto table = store::http::HttpTableService::Make(settings);
    const auto objects = store::http::HttpObjectStore::Make(settings);
    REQUIRE(table);
    REQUIRE(objects);
    aTest({ **table, **objects, server.State() });
  }
}

} // namespace nutmegrock::tests
