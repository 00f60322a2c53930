#include "tests/transport/HttpCalls.h"

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;

TEST_SUITE("transport/http")
{
  // Detects lost or merged bodies at the sizes where the framing or the number
  // of chunks changes.
  TEST_CASE("client and listener transfer calls and responses of all sizes")
  {
    Loop loop;
    const auto listener =
      Listen(loop, [](const Call& aCall, const ResponseHandler& aResponse) {
        const auto body = aCall.mBody;
        ReadAll(body, 1 << 30, [aCall, aResponse](const auto& aText) {
          Response response;
          response.mHead.mStatus = aText ? 201 : 500;
          response.mHead.mHeaders = { { "X-Target", aCall.mHead.mTarget } };
          response.mBody = std::make_shared<GeneratedBody>(
            aText.value_or(std::string()).size(), 10000);
          aResponse(std::move(response));
        });
      });
    const auto client = Connect(loop, listener->LocalAddress());
    for (const std::size_t size : { 0, 1, 9999, 65536, 65537, 3000000 }) {
      for (const bool known : { true, false }) {
        CAPTURE(size);
        CAPTURE(known);
        auto call = MakeCall(
          "POST", "/a?b=c", std::make_shared<GeneratedBody>(size, 7000));
        if (known) {
          call.mHead.mBodySize = size;
        }
        const auto response = ResponseOf(SendCall(*client, std::move(call)));
        REQUIRE(response.has_value());
        CHECK(response->mHead.mStatus == 201);
        const auto* target = FindHeader(response->mHead.mHeaders, "x-target");
        REQUIRE(target != nullptr);
        CHECK(*target == "/a?b=c");
        const auto text = ReadBody(response->mBody);
        REQUIRE(text.has_value());
        CHECK(text->size() == size);
        // Completion of the call's last write may be reported after the
        // response.
        CHECK(WaitUntil([&] { return client->Idle() == 1; }));
      }
    }
    CHECK(client->Connections() == 1);
    CHECK(WaitUntil([&] { return listener->InFlight() == 0; }));
  }

  // A receiver that does not read must stop reading from the sender's source;
  // otherwise a large body, such as a photo, is buffered whole at each hop.
  TEST_CASE("bodies are not read ahead of a receiver that does not read")
  {
    constexpr std::size_t kSize = std::size_t{ 256 } * 1024 * 1024;
    Loop loop;
    const auto response_body = std::make_shared<GeneratedBody>(kSize, 50000);
    Awaited<std::pair<Call, ResponseHandler>> given;
    const auto listener =
      Listen(loop, [&](const Call& aCall, const ResponseHandler& aResponse) {
        given.Set({ aCall, aResponse });
      });
    const auto client = Connect(loop, listener->LocalAddress());
    const auto call_body = std::make_shared<GeneratedBody>(kSize, 50000);
    const auto sent = SendCall(*client, MakeCall("PUT", "/a", call_body));
    auto taken = given.Get();
    REQUIRE(taken.has_value());
    Response response;
    response.mBody = response_body;
    taken->second(std::move(response));
    const auto received = ResponseOf(sent);
    REQUIRE(received.has_value());
    // A slow machine can only make this check pass more easily.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(call_body->BytesRead() < kSize / 4);
    CHECK(response_body->BytesRead() < kSize / 4);
  }
}
