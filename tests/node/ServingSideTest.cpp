#include "node/ServingSide.h"

#include "tests/node/Fakes.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  explicit Fixture(std::uint32_t aSlots = 2)
  {
    node::ServingSettings settings;
    settings.mService = "till";
    settings.mAdmission.mLimit.mSlots = aSlots;
    settings.mAdmission.mLimit.mColdStartShare = 1.0;
    auto created = node::ServingSide::Create(
      settings, mTime.MakeEnvironment(), mCalls, mBackend, *mLedger, mRegistry);
    REQUIRE(created.has_value());
    mSide = *created;
    mSide->SetState(node::ServerState::Serving);
  }

  transport::PeerCall MakeCall(std::uint64_t aId,
                               const std::string& aService = "till")
  {
    core::CallContext context{ core::RequestId::FromBits(0, aId),
                               mTime.Now() + 1s,
                               200ms,
                               "deposit",
                               core::Importance::Critical,
                               false,
                               2,
                               0,
                               {} };
    return { {},
             aService,
             context,
             { { "POST", "/pay", { { "X-Operation", "7" } }, 0 },
               transport::StringBody("b"),
               std::make_shared<transport::Cancellation>() } };
  }

  void Handle(transport::PeerCall aCall)
  {
    mSide->Handle(std::move(aCall), [this](transport::PeerResult aResult) {
      mResults.push_back(std::move(aResult));
    });
  }

  test::FakeTime mTime;
  test::FakeBackend mBackend;
  node::ActiveCalls mCalls;
  std::unique_ptr<once::ExecutionLedger> mLedger =
    *once::ExecutionLedger::Create({});
  metrics::Registry mRegistry;
  std::shared_ptr<node::ServingSide> mSide;
  std::vector<transport::PeerResult> mResults;
};

} // namespace

TEST_SUITE("node/ServingSide")
{
  TEST_CASE("an admitted call reaches the backend server with its token and is "
            "answered")
  {
    Fixture f;
    f.Handle(f.MakeCall(1));
    REQUIRE(f.mBackend.mSent.size() == 1);
    const auto& headers = f.mBackend.mSent[0].mCall.mHead.mHeaders;
    const std::string* token =
      transport::FindHeader(headers, "Nutmegrock-Call");
    REQUIRE(token != nullptr);
    CHECK(f.mCalls.Find(*token) != nullptr);
    CHECK(*transport::FindHeader(headers, "X-Operation") == "7");
    CHECK(*transport::FindHeader(headers, "Nutmegrock-Deadline-Ms") == "1000");
    f.mBackend.Respond(0, 200, "paid");
    REQUIRE(f.mResults.size() == 1);
    REQUIRE(f.mResults[0].mResponse.has_value());
    CHECK(f.mResults[0].mFeedback.mBudgetReturned == 2);
    // The slot stays in use until the body has been forwarded.
    CHECK(f.mSide->Status().mInFlight == 1);
    CHECK(test::BodyOf(*f.mResults[0].mResponse) == "paid");
    CHECK(f.mSide->Status().mInFlight == 0);
    CHECK(f.mCalls.Size() == 0);
  }

  TEST_CASE(
    "refusals before admission report not run and reach no backend server")
  {
    struct Case
    {
      node::ServerState mState;
      std::string mService;
      core::Duration mLate;
      core::ErrorKind mKind;
    };
    const Case cases[] = {
      { node::ServerState::Starting, "till", 0s, core::ErrorKind::NotReady },
      { node::ServerState::Draining, "till", 0s, core::ErrorKind::Draining },
      { node::ServerState::Serving,
        "tracker",
        0s,
        core::ErrorKind::WrongIncarnation },
      { node::ServerState::Serving,
        "till",
        2s,
        core::ErrorKind::DeadlineExceeded },
    };
    for (const Case& c : cases) {
      Fixture f;
      f.mSide->SetState(c.mState);
      auto call = f.MakeCall(1, c.mService);
      f.mTime.Advance(c.mLate);
      f.Handle(std::move(call));
      REQUIRE(f.mResults.size() == 1);
      CHECK(f.mResults[0].mResponse.error().mKind == c.mKind);
      CHECK(f.mResults[0].mResponse.error().mRun == core::RunCertainty::NotRun);
      CHECK(f.mResults[0].mFeedback.mBudgetReturned == 2);
      CHECK(f.mBackend.mSent.empty());
      CHECK(f.mSide->Pending() == 0);
    }
  }

  // A planned stop must not abort calls that were accepted before it.
  TEST_CASE("draining refuses new calls and finishes waiting and running ones")
  {
    Fixture f(1);
    f.Handle(f.MakeCall(1));
    f.Handle(f.MakeCall(2));
    REQUIRE(f.mBackend.mSent.size() == 1);
    f.mSide->SetState(node::ServerState::Draining);
    f.Handle(f.MakeCall(3));
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mKind == core::ErrorKind::Draining);
    f.mBackend.Respond(0, 200);
    CHECK(test::BodyOf(*f.mResults[1].mResponse) == "ok");
    REQUIRE(f.mBackend.mSent.size() == 2);
    f.mBackend.Respond(1, 200);
    CHECK(test::BodyOf(*f.mResults[2].mResponse) == "ok");
    CHECK(f.mSide->Pending() == 0);
  }

  TEST_CASE("a call that exceeds its queue timeout is refused as not run")
  {
    Fixture f(1);
    f.Handle(f.MakeCall(1));
    f.Handle(f.MakeCall(2));
    f.mTime.Advance(500ms);
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mKind ==
          core::ErrorKind::QueueTimeout);
    CHECK(f.mResults[0].mResponse.error().mRun == core::RunCertainty::NotRun);
    CHECK(f.mBackend.mSent.size() == 1);
  }

  // A cancelled call must not leave a slot in use or a call in the queue.
  TEST_CASE("cancelling a queued call removes it")
  {
    Fixture f(1);
    f.Handle(f.MakeCall(1));
    auto call = f.MakeCall(2);
    const auto cancellation = call.mCall.mCancellation;
    f.Handle(std::move(call));
    CHECK(f.mSide->Pending() == 2);
    cancellation->Cancel();
    CHECK(f.mSide->Pending() == 1);
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mRun == core::RunCertainty::NotRun);
  }

  TEST_CASE("failures at the backend server report whether the call ran")
  {
    struct Case
    {
      core::ErrorKind mKind;
      core::RunCertainty mRun;
    };
    const Case cases[] = {
      { core::ErrorKind::BackendUnreachable, core::RunCertainty::NotRun },
      { core::ErrorKind::BackendTimeout, core::RunCertainty::Unknown },
      { core::ErrorKind::BackendProtocol, core::RunCertainty::Unknown },
    };
    for (const Case& c : cases) {
      Fixture f;
      f.Handle(f.MakeCall(1));
      f.mBackend.Fail(0, c.mKind);
      REQUIRE(f.mResults.size() == 1);
      CHECK(f.mResults[0].mResponse.error().mKind == c.mKind);
      CHECK(f.mResults[0].mResponse.error().mRun == c.mRun);
      CHECK(f.mSide->Status().mInFlight == 0);
      CHECK(f.mCalls.Size() == 0);
    }
  }

  // Otherwise load shedding would look like a 503 that the server generated
  // after running the call.
  TEST_CASE("a shed response becomes a refusal that reports not run")
  {
    Fixture f;
    f.Handle(f.MakeCall(1));
    transport::Response shed;
    shed.mHead.mStatus = 503;
    shed.mHead.mHeaders = { { "nutmegrock-run", "not-run" } };
    shed.mBody = transport::StringBody("");
    f.mBackend.mSent[0].mHandler(std::move(shed));
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mKind ==
          core::ErrorKind::BackendShed);
    CHECK(f.mResults[0].mResponse.error().mRun == core::RunCertainty::NotRun);
  }
}
