#include "node/BackendNotices.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::node;

TEST_CASE("an announcement and a load report are read")
{
  CHECK(Announcement::Parse(R"({"slots":148,"connections":988,"x":"é"})") ==
        Announcement{ 148, 988 });
  CHECK(LoadReport::Parse(R"({"in_use":0,"waiting":7})") == LoadReport{ 0, 7 });
}

// Guards against one notice ending the process: the library's exception for an
// invalid surrogate pair reached the event loop.
TEST_CASE("a backend notice that is not a JSON object is refused")
{
  for (const std::string text : { "",
                                  "{",
                                  "[1]",
                                  "7",
                                  R"({"slots":1,"connections":1,"x":"\ud800"})",
                                  R"({"slots":1,"connections":1,)"
                                  R"("x":"\ud800\u0041"})",
                                  R"({"in_use":1,"waiting":1,)"
                                  R"("\udbff\uzzzz":1})" }) {
    CAPTURE(text);
    core::Expected<Announcement> announcement;
    CHECK_NOTHROW(announcement = Announcement::Parse(text));
    REQUIRE(!announcement.has_value());
    CHECK(announcement.error().mKind == core::ErrorKind::BadRequest);
    core::Expected<LoadReport> report;
    CHECK_NOTHROW(report = LoadReport::Parse(text));
    REQUIRE(!report.has_value());
    CHECK(report.error().mKind == core::ErrorKind::BadRequest);
  }
}
