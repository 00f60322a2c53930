#include "tests/transport/Peers.h"

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;

namespace {

// Responds to each call with a body of the size of the call's body.
void
EchoSize(const PeerCall& aCall, const PeerResultHandler& aResponse)
{
  ReadAll(aCall.mCall.mBody, 1 << 30, [aCall, aResponse](const auto& aText) {
    if (!aText) {
      aResponse({ tl::make_unexpected(aText.error()), {} });
      return;
    }
    Response response;
    response.mHead.mStatus = 201;
    response.mHead.mHeaders = { { "X-Profile", aCall.mContext.mProfile } };
    response.mBody = std::make_shared<GeneratedBody>(aText->size(), 10000);
    core::CallFeedback feedback;
    feedback.mBudgetReturned = aCall.mContext.mRetryBudget;
    feedback.mLevel = { core::Importance::High, 5 };
    aResponse({ std::move(response), feedback });
  });
}

} // namespace

TEST_SUITE("transport/peer")
{
  // Detects lost or merged bodies at the sizes where a body starts to need
  // chunks and credit.
  TEST_CASE("peers transfer calls and responses of all sizes")
  {
    Loop loop;
    const auto server = StartPeerServer(loop, EchoSize);
    const auto client = MakePeerClient(loop);
    for (const std::size_t size : { 0, 1, 65536, 65537, 262144, 5000000 }) {
      for (const std::size_t chunk : { 7000, 300000 }) {
        CAPTURE(size);
        const auto result = ResultOf(SendPeerCall(
          *client,
          server->LocalAddress(),
          MakePeerCall(std::make_shared<GeneratedBody>(size, chunk))));
        REQUIRE(result.mResponse.has_value());
        CHECK(result.mResponse->mHead.mStatus == 201);
        CHECK(result.mResponse->mHead.mHeaders ==
              Headers{ { "X-Profile", "deposit" } });
        CHECK(result.mFeedback.mBudgetReturned == 3);
        CHECK(result.mFeedback.mLevel ==
              core::Level{ core::Importance::High, 5 });
        const auto text = ReadBody(result.mResponse->mBody);
        REQUIRE(text.has_value());
        CHECK(text->size() == size);
      }
    }
    CHECK(server->Connections() == 1);
    CHECK(WaitUntil([&] { return server->InFlight() == 0; }));
  }

  TEST_CASE("control requests reach only the incarnation they are addressed to")
  {
    Loop loop;
    const auto server = StartPeerServer(loop, EchoSize);
    const auto client = MakePeerClient(loop);
    const auto& address = server->LocalAddress();
    const auto good = ControlAndWait(*client, address, kServerIncarnation, "7");
    REQUIRE(good.has_value());
    CHECK(*good == kClientIncarnation.ToString() + " pull 7");
    CHECK(ControlAndWait(*client, address, {}, "8").has_value());
    const auto wrong = ControlAndWait(*client, address, { 1 }, "9");
    REQUIRE_FALSE(wrong.has_value());
    CHECK(wrong.error().mKind == core::ErrorKind::WrongIncarnation);
  }
}
