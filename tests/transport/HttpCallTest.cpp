#include "tests/transport/Bodies.h"
#include "tests/transport/Loop.h"
#include "transport/http/CallListener.h"
#include "transport/http/HttpBackendClient.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;

namespace {

std::unique_ptr<http::CallListener>
Listen(Loop& aLoop, CallHandler aHandler)
{
  http::CallListenerSettings settings;
  settings.mAddress = { "127.0.0.1", 0 };
  auto listener =
    http::CallListener::Create(aLoop.Io(), settings, std::move(aHandler));
  REQUIRE(listener.has_value());
  return std::move(*listener);
}

std::unique_ptr<http::HttpBackendClient>
Connect(Loop& aLoop, const core::Address& aAddress, std::size_t aMax = 16)
{
  http::HttpBackendClientSettings settings;
  settings.mAddress = aAddress;
  settings.mMaxConnections = aMax;
  auto client = http::HttpBackendClient::Create(aLoop.Io(), settings);
  REQUIRE(client.has_value());
  return std::move(*client);
}

core::Expected<Answer>
SendAndWait(BackendClient& aClient, Call aCall)
{
  Awaited<core::Expected<Answer>> answer;
  aClient.Send(std::move(aCall), FarDeadline(), [&](auto aAnswer) {
    answer.Set(std::move(aAnswer));
  });
  return answer.Get().value_or(
    core::Fail(core::ErrorKind::Internal, "no answer came"));
}

Call
MakeCall(std::string aMethod, std::string aTarget, BodyReaderPtr aBody = {})
{
  Call call;
  call.mHead.mMethod = std::move(aMethod);
  call.mHead.mTarget = std::move(aTarget);
  call.mBody = std::move(aBody);
  call.mCancellation = std::make_shared<Cancellation>();
  return call;
}

} // namespace

TEST_SUITE("transport/http")
{
  // Guards against lost or merged bodies at the sizes where the framing or the
  // number of chunks changes.
  TEST_CASE("client and listener carry calls and answers of all sizes")
  {
    Loop loop;
    const auto listener = Listen(loop, [](Call aCall, AnswerHandler aAnswer) {
      const auto body = aCall.mBody;
      ReadWhole(body, 1 << 30, [aCall, aAnswer](auto aText) {
        REQUIRE(aText.has_value());
        Answer answer;
        answer.mHead.mStatus = 201;
        answer.mHead.mHeaders = { { "X-Target", aCall.mHead.mTarget } };
        answer.mBody = std::make_shared<MadeBody>(aText->size(), 10000);
        aAnswer(std::move(answer));
      });
    });
    const auto client = Connect(loop, listener->LocalAddress());
    for (const std::size_t size : { 0, 1, 9999, 65536, 65537, 3000000 }) {
      for (const bool known : { true, false }) {
        CAPTURE(size);
        CAPTURE(known);
        auto call =
          MakeCall("POST", "/a?b=c", std::make_shared<MadeBody>(size, 7000));
        if (known) {
          call.mHead.mBodySize = size;
        }
        auto answer = SendAndWait(*client, std::move(call));
        INFO((answer ? std::string() : answer.error().mMessage));
        REQUIRE(answer.has_value());
        CHECK(answer->mHead.mStatus == 201);
        const auto* target = FindHeader(answer->mHead.mHeaders, "x-target");
        REQUIRE(target != nullptr);
        CHECK(*target == "/a?b=c");
        const auto text = Whole(answer->mBody);
        REQUIRE(text.has_value());
        CHECK(text->size() == size);
      }
    }
    CHECK(client->Connections() == 1);
    CHECK(WaitUntil([&] { return listener->InFlight() == 0; }));
  }
}
