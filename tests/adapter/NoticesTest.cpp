#include "platform/Notices.h"

#include <cpprest/json.h>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::platform;
using gateway::LeaveNotice;

namespace {

const std::string kTarget = "/rpc?call=instances.heartbeat&of=i-7f";
const std::string kLeave = "/rpc?call=instances.deregister&of=i-7f";
const std::string kBody =
  R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
  R"("slots":148,"state":"draining","coldRemainingMs":900,"sequence":4,)"
  R"("born":1700000000000})";

} // namespace

TEST_CASE("all fields of a heartbeat are read")
{
  const auto notice = DecodeNotice({ "POST", kTarget, kBody });
  REQUIRE(notice.has_value());
  const auto& heartbeat = std::get<announce::Announcement>(*notice);
  CHECK(heartbeat.mId == "i-7f");
  CHECK(heartbeat.mService == "s");
  CHECK(heartbeat.mAddress == core::Address{ "10.0.0.9", 8080 });
  CHECK(heartbeat.mSlots == 148);
  CHECK(heartbeat.mDraining);
  CHECK(heartbeat.mWarmUpRemaining == std::chrono::milliseconds(900));
  CHECK(heartbeat.mSequence == 4);
  CHECK(heartbeat.mStartedMs == 1'700'000'000'000);
}

// Guards against a server that is never used because it reports the rest of its
// warm-up as a fraction.
TEST_CASE("the remaining warm-up may be a fraction")
{
  std::string body = kBody;
  body.replace(body.find("900"), 3, "1234.5");
  const auto notice = DecodeNotice({ "POST", kTarget, body });
  REQUIRE(notice.has_value());
  CHECK(std::get<announce::Announcement>(*notice).mWarmUpRemaining ==
        std::chrono::milliseconds(1234));
}

TEST_CASE("a leave needs no body and may identify the start")
{
  CHECK(std::get<LeaveNotice>(*DecodeNotice({ "POST", kLeave, "" })) ==
        LeaveNotice{ "i-7f", 0 });
  CHECK(std::get<LeaveNotice>(*DecodeNotice(
          { "POST", kLeave, R"({"born":17})" })) == LeaveNotice{ "i-7f", 17 });
}

TEST_CASE("unknown calls and invalid heartbeats are refused")
{
  struct Case
  {
    gateway::NoticeRequest mRequest;
    core::ErrorKind mKind;
  };
  using Kind = core::ErrorKind;
  const Case cases[] = {
    { { "GET", kTarget, kBody }, Kind::NotFound },
    { { "POST", "/rpc", kBody }, Kind::NotFound },
    { { "POST", "/other?call=instances.heartbeat&of=i", kBody },
      Kind::NotFound },
    { { "POST", "/rpc?call=instances.list&of=i", kBody }, Kind::NotFound },
    { { "POST", "/rpc?call=instances.heartbeat", kBody }, Kind::BadRequest },
    { { "POST", kTarget, "" }, Kind::BadRequest },
    { { "POST", kTarget, "{" }, Kind::BadRequest },
    { { "POST", kTarget, "[1]" }, Kind::BadRequest },
    { { "POST", kTarget, "\xff\xfe" }, Kind::BadRequest },
    { { "POST", kTarget, R"({"service":"s"})" }, Kind::BadRequest },
    { { "POST",
        kTarget,
        R"({"service":1,"address":"10.0.0.9:8080","slots":1,"state":"ready",)"
        R"("sequence":1})" },
      Kind::BadRequest },
    { { "POST",
        kTarget,
        R"({"service":"s","address":"here","slots":1,"state":"ready",)"
        R"("sequence":1})" },
      Kind::BadRequest },
    { { "POST",
        kTarget,
        R"({"service":"s","address":"10.0.0.9:80","slots":-1,"state":"ready",)"
        R"("sequence":1})" },
      Kind::BadRequest },
    { { "POST",
        kTarget,
        R"({"service":"s","address":"10.0.0.9:80","slots":1,"state":"odd",)"
        R"("sequence":1})" },
      Kind::BadRequest },
  };
  for (const Case& wrong : cases) {
    CAPTURE(wrong.mRequest.mTarget);
    CAPTURE(wrong.mRequest.mBody);
    const auto notice = DecodeNotice(wrong.mRequest);
    REQUIRE(!notice.has_value());
    CHECK(notice.error().mKind == wrong.mKind);
  }
}

// Guards against an incomplete heartbeat of another writer taking the place of
// the server: its later start made all heartbeats of that server late.
TEST_CASE(
  "a heartbeat that lacks a field or has one of another type is refused")
{
  for (const std::string name : { "service",
                                  "address",
                                  "zone",
                                  "version",
                                  "slots",
                                  "state",
                                  "coldRemainingMs",
                                  "sequence" }) {
    CAPTURE(name);
    for (const std::string value :
         { "", "null", "true", "[1]", "{}", "-1", "1.5", "\"\"" }) {
      CAPTURE(value);
      auto body = web::json::value::parse(kBody);
      const bool is_text = body.at(name).is_string();
      // Texts may be empty, and the rest of a warm-up may be a fraction.
      if ((is_text && value == "\"\"") ||
          (name == "coldRemainingMs" && value == "1.5")) {
        continue;
      }
      body.erase(name);
      if (!value.empty()) {
        body[name] = web::json::value::parse(value);
      }
      const auto notice = DecodeNotice({ "POST", kTarget, body.serialize() });
      REQUIRE(!notice.has_value());
      CHECK(notice.error().mKind == core::ErrorKind::BadRequest);
    }
  }
}

// Guards against a start of another type being read as 0, which a leave gives
// for any start of the server.
TEST_CASE("a notice whose start has another type is refused")
{
  for (const std::string value :
       { "null", "\"1700000000000\"", "-1", "1.5", "[]", "1e30" }) {
    CAPTURE(value);
    auto body = web::json::value::parse(kBody);
    body["born"] = web::json::value::parse(value);
    for (const std::string& target : { kTarget, kLeave }) {
      const auto notice = DecodeNotice({ "POST", target, body.serialize() });
      REQUIRE(!notice.has_value());
      CHECK(notice.error().mKind == core::ErrorKind::BadRequest);
    }
  }
  CHECK(!DecodeNotice({ "POST", kLeave, "[1]" }).has_value());
  // One that does not tell its start is read.
  auto body = web::json::value::parse(kBody);
  body.erase("born");
  CHECK(DecodeNotice({ "POST", kTarget, body.serialize() }).has_value());
}

// Guards against one notice of another writer ending the process: an exception
// from decoding its target reached the event loop.
TEST_CASE("a notice whose target cannot be decoded is refused")
{
  for (const std::string id :
       { "i-caf\xe9", "%zz", "%", "%4", "i%", "\xff\xfe", "%G0" }) {
    for (const std::string call :
         { "instances.heartbeat", "instances.deregister" }) {
      std::string target = "/rpc?call=";
      target.append(call).append("&of=").append(id);
      CAPTURE(target);
      core::Expected<gateway::ServerNotice> notice = LeaveNotice{};
      CHECK_NOTHROW(notice = DecodeNotice({ "POST", target, kBody }));
      REQUIRE(!notice.has_value());
      CHECK(notice.error().mKind == core::ErrorKind::BadRequest);
    }
  }
  CHECK(
    DecodeNotice({ "POST", "/rpc?call=%zz&of=i-7f", kBody }).error().mKind ==
    core::ErrorKind::BadRequest);
  // Values that no notice uses are not decoded.
  CHECK(DecodeNotice({ "POST", kTarget + "&other=%zz", kBody }).has_value());
  CHECK(std::get<LeaveNotice>(*DecodeNotice({ "POST", kLeave + "%2Fa", "" })) ==
        LeaveNotice{ "i-7f/a", 0 });
}

// Guards against one notice of another writer ending the process: the library's
// exception for an invalid surrogate pair reached the event loop.
TEST_CASE("a notice with an invalid surrogate pair is refused")
{
  for (const std::string text : { R"(\ud800\u0041)",
                                  R"(\ud800\ud800)",
                                  R"(\udbff\ue000)",
                                  R"(\ud83d\u0000)",
                                  R"(\ud800\uzzzz)",
                                  R"(\ud800\u)" }) {
    CAPTURE(text);
    std::vector<std::string> bodies{ R"({")" + text + R"(":1})",
                                     R"({"born":17,"x":")" + text + R"("})",
                                     R"({"born":17,"x":[[")" + text +
                                       R"("]]})" };
    for (const std::string field :
         { "\"s\"", "\"z\"", "\"v1\"", "\"draining\"" }) {
      std::string body = kBody;
      body.replace(body.find(field), field.size(), "\"" + text + "\"");
      bodies.push_back(std::move(body));
    }
    for (const std::string& body : bodies) {
      CAPTURE(body);
      for (const std::string& target : { kTarget, kLeave }) {
        core::Expected<gateway::ServerNotice> notice = LeaveNotice{};
        CHECK_NOTHROW(notice = DecodeNotice({ "POST", target, body }));
        REQUIRE(!notice.has_value());
        CHECK(notice.error().mKind == core::ErrorKind::BadRequest);
      }
    }
  }
  std::string body = kBody;
  body.replace(body.find("\"s\""), 3, R"("\ud83d\ude00")");
  const auto notice = DecodeNotice({ "POST", kTarget, body });
  REQUIRE(notice.has_value());
  CHECK(std::get<announce::Announcement>(*notice).mService ==
        "\xf0\x9f\x98\x80");
}

// Guards against any other notice of another writer that ends the process by an
// exception.
TEST_CASE("no change of the text of a notice makes its decoder throw")
{
  constexpr int kRuns = 20'000;
  const std::vector<std::string> pieces{
    R"(\u)", R"(\ud800)", R"(\udfff)", R"(\u0041)", R"(\)", "\"",
    "{",     "}",         "[",         "]",         ":",    ",",
    "-",     "1e999",     "null",      "0041",      "\xff", "\xed\xa0\x80",
    "\r\n",  "%",         "&",         "%e9%zz",    "="
  };
  std::mt19937_64 random(1);
  const auto below = [&random](std::size_t aCount) {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random);
  };
  for (int run = 0; run < kRuns; ++run) {
    const bool is_target = below(4) == 0;
    std::string text = is_target ? kTarget : kBody;
    for (std::size_t changes = 1 + below(3); changes > 0; --changes) {
      std::string inserted;
      for (std::size_t count = 1 + below(3); count > 0; --count) {
        inserted += pieces[below(pieces.size())];
      }
      text.replace(below(text.size() + 1), below(4), inserted);
    }
    CAPTURE(text);
    core::Expected<gateway::ServerNotice> notice = LeaveNotice{};
    REQUIRE_NOTHROW(notice = is_target
                               ? DecodeNotice({ "POST", text, kBody })
                               : DecodeNotice({ "POST", kTarget, text }));
    if (!notice) {
      const core::ErrorKind kind = notice.error().mKind;
      REQUIRE((kind == core::ErrorKind::BadRequest ||
               kind == core::ErrorKind::NotFound));
    }
  }
}

// Guards against header lines of another writer's choice in requests to the
// backend server: the identity of a notice is sent in a header.
TEST_CASE("an identity that cannot be sent in a header is refused")
{
  for (const std::string id : { "a%0d%0aNutmegrock-Request-Id:%201",
                                "a%0a",
                                "a%00",
                                "a%7f",
                                "a%09" }) {
    CAPTURE(id);
    const auto notice =
      DecodeNotice({ "POST", "/rpc?call=instances.heartbeat&of=" + id, kBody });
    REQUIRE(!notice.has_value());
    CHECK(notice.error().mKind == core::ErrorKind::BadRequest);
  }
  const auto accented = DecodeNotice(
    { "POST", "/rpc?call=instances.deregister&of=caf%c3%a9%201", "" });
  CHECK(std::get<LeaveNotice>(*accented) == LeaveNotice{ "caf\xc3\xa9 1", 0 });
}
