#pragma once

#include "store/http/HttpObjectStore.h"
#include "store/http/HttpTableService.h"
#include "tests/store/FakePlatform.h"
#include "tests/store/StandInPlatform.h"

#include <doctest/doctest.h>
#include <functional>

namespace nutmegrock::tests {

/// Timeout of requests whose response is withheld or delayed on purpose.
constexpr std::chrono::milliseconds kShortTimeout{ 2000 };

/// An implementation of both ports and its underlying state.
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
