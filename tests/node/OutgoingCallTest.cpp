#include "node/OutgoingCall.h"

#include "routing/RouterSettings.h"
#include "tests/node/Fakes.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;

namespace {

/// Records attempts, to which the test responds.
struct Fixture
{
  struct Sent
  {
    routing::Choice mChoice;
    transport::PeerCall mCall;
    transport::PeerResultHandler mHandler;
  };

  explicit Fixture(std::size_t aServers = 3)
  {
    mRouter = *routing::Router::Create({});
    mRatio = *retry::RetryRatio::Create({});
    mPolicy =
      std::make_unique<retry::RetryPolicy>(*retry::RetryPolicy::Create({}));
    mLevels = *limits::LevelCache::Create({});
    std::vector<routing::Candidate> candidates;
    for (std::size_t i = 1; i <= aServers; ++i) {
      candidates.push_back({ { i },
                             { "127.0.0.1", static_cast<std::uint16_t>(i) },
                             "a",
                             10,
                             routing::CandidateState::Serving,
                             mTime.Now() - 1h });
    }
    mRouter->Update(mTime.Now(), "till", candidates);
    // Accumulates tokens of the ratio limit, so that only the retry budget
    // limits retries in these tests.
    for (int i = 0; i < 1000; ++i) {
      mRatio->OnSuccess(mTime.Now(), "till");
    }
    mDependencies =
      std::make_shared<node::OutgoingDependencies>(node::OutgoingDependencies{
        mTime.MakeEnvironment(),
        "a",
        *mRouter,
        *mRatio,
        *mPolicy,
        *mLevels,
        mRegistry,
        [this](const routing::Choice& aChoice,
               transport::PeerCall aCall,
               transport::PeerResultHandler aHandler) {
          mSent.push_back({ aChoice, std::move(aCall), std::move(aHandler) });
        } });
  }

  void Start(bool aIdempotent,
             std::uint32_t aBudget,
             transport::BodyReaderPtr aBody = transport::StringBody("b"))
  {
    core::CallContext context{ core::RequestId::FromBits(0, 5),
                               mTime.Now() + 1s,
                               200ms,
                               "deposit",
                               core::Importance::Critical,
                               aIdempotent,
                               aBudget,
                               0,
                               {} };
    node::OutgoingCall::Create(
      mDependencies,
      "till",
      context,
      { { "POST", "/pay", {}, std::nullopt }, std::move(aBody), mCancellation },
      [this](node::OutgoingResult aResult) {
        mResults.push_back(std::move(aResult));
      })
      ->Start();
  }

  void Respond(std::size_t aIndex, unsigned aStatus, std::uint32_t aReturned)
  {
    transport::Response response;
    response.mHead.mStatus = aStatus;
    response.mBody = transport::StringBody("ok");
    core::CallFeedback feedback;
    feedback.mBudgetReturned = aReturned;
    std::exchange(mSent.at(aIndex).mHandler,
                  nullptr)({ std::move(response), feedback });
  }
  void Fail(std::size_t aIndex,
            core::ErrorKind aKind,
            std::uint32_t aReturned,
            bool aDecided = false)
  {
    core::Error error = core::MakeError(aKind, "fake");
    error.mRetryDecided = aDecided;
    core::CallFeedback feedback;
    feedback.mBudgetReturned = aReturned;
    std::exchange(mSent.at(aIndex).mHandler,
                  nullptr)({ tl::make_unexpected(error), feedback });
  }

  test::FakeTime mTime;
  metrics::Registry mRegistry;
  std::unique_ptr<routing::Router> mRouter;
  std::unique_ptr<retry::RetryRatio> mRatio;
  std::unique_ptr<retry::RetryPolicy> mPolicy;
  std::unique_ptr<limits::LevelCache> mLevels;
  std::shared_ptr<node::OutgoingDependencies> mDependencies;
  transport::CancellationPtr mCancellation =
    std::make_shared<transport::Cancellation>();
  std::vector<Sent> mSent;
  std::vector<node::OutgoingResult> mResults;
};

/// A body of two chunks.
class TwoChunks final : public transport::BodyReader
{
public:
  void Next(transport::ChunkHandler aHandler) override
  {
    ++mCount;
    aHandler(transport::BodyChunk{ mCount == 1 ? "one" : "two", mCount == 2 });
  }

private:
  int mCount = 0;
};

} // namespace

TEST_SUITE("node/OutgoingCall")
{
  TEST_CASE(
    "a refusal elsewhere is retried at another server and uses the budget")
  {
    Fixture f;
    f.Start(false, 2);
    REQUIRE(f.mSent.size() == 1);
    CHECK(f.mSent[0].mCall.mContext.mRetryBudget == 1);
    f.Fail(0, core::ErrorKind::QueueFull, 1);
    REQUIRE(f.mSent.size() == 2);
    CHECK(f.mSent[1].mChoice.mIncarnation != f.mSent[0].mChoice.mIncarnation);
    f.Respond(1, 200, f.mSent[1].mCall.mContext.mRetryBudget);
    REQUIRE(f.mResults.size() == 1);
    REQUIRE(f.mResults[0].mResponse.has_value());
    CHECK(f.mResults[0].mUnusedRetries == 1);
  }

  // Sending a non-idempotent call again after it may have run would run it
  // twice.
  TEST_CASE("a non-idempotent call is sent again only after a certain refusal")
  {
    struct Case
    {
      core::ErrorKind mKind;
      std::size_t mAttempts;
    };
    const Case cases[] = {
      { core::ErrorKind::PeerLost, 1 },
      { core::ErrorKind::BackendTimeout, 1 },
      { core::ErrorKind::BackendProtocol, 1 },
      { core::ErrorKind::ProtocolError, 1 },
      { core::ErrorKind::PeerUnreachable, 2 },
      { core::ErrorKind::Draining, 2 },
    };
    for (const Case& c : cases) {
      Fixture f;
      f.Start(false, 2);
      f.Fail(0, c.mKind, 0);
      CHECK(f.mSent.size() == c.mAttempts);
    }
    Fixture f;
    f.Start(false, 2);
    f.Respond(0, 500, 0);
    CHECK(f.mSent.size() == 1);
    CHECK(f.mResults[0].mResponse->mHead.mStatus == 500);
  }

  // A refusal must not report "not run" if an earlier attempt may have run.
  TEST_CASE("a refusal after an uncertain attempt is reported as uncertain")
  {
    Fixture f;
    f.Start(true, 2);
    f.Fail(0, core::ErrorKind::PeerLost, 0);
    REQUIRE(f.mSent.size() == 2);
    f.Fail(1, core::ErrorKind::QueueFull, 0, true);
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mRun == core::RunCertainty::Unknown);
  }

  // Retries at every hop would multiply.
  TEST_CASE("a failure with a downstream retry decision is not retried again")
  {
    Fixture f;
    f.Start(true, 2);
    f.Fail(0, core::ErrorKind::QueueFull, 1, true);
    CHECK(f.mSent.size() == 1);
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mRetryDecided);
  }

  TEST_CASE("a lost grant counts as spent and attempts stay within the budget")
  {
    for (std::uint32_t budget = 0; budget <= 4; ++budget) {
      Fixture f(8);
      f.Start(true, budget);
      std::size_t granted = 0;
      for (std::size_t i = 0; i < f.mSent.size(); ++i) {
        granted += f.mSent[i].mCall.mContext.mRetryBudget;
        f.Fail(i, core::ErrorKind::PeerLost, 0);
      }
      CHECK(f.mSent.size() - 1 + granted <= budget);
      CHECK(f.mResults.size() == 1);
    }
  }

  // A body that was sent in part cannot be sent again.
  TEST_CASE("a streamed body is sent once")
  {
    Fixture f;
    f.Start(true, 2, std::make_shared<TwoChunks>());
    std::string body;
    transport::ReadAll(f.mSent[0].mCall.mCall.mBody,
                       100,
                       [&](const core::Expected<std::string>& aBody) {
                         body = aBody.value_or("");
                       });
    CHECK(body == "onetwo");
    f.Fail(0, core::ErrorKind::QueueFull, 1);
    CHECK(f.mSent.size() == 1);
    CHECK(f.mResults.size() == 1);
  }

  TEST_CASE("cancellation reaches the attempt and stops retries")
  {
    Fixture f;
    f.Start(true, 2);
    f.mCancellation->Cancel();
    CHECK(f.mSent[0].mCall.mCall.mCancellation->IsCancelled());
    f.Fail(0, core::ErrorKind::Cancelled, 0);
    CHECK(f.mSent.size() == 1);
    CHECK(f.mResults.size() == 1);
  }

  TEST_CASE("an unknown service is refused without an attempt")
  {
    Fixture f;
    f.mRouter->Update(f.mTime.Now(), "till", {});
    f.Start(true, 2);
    CHECK(f.mSent.empty());
    REQUIRE(f.mResults.size() == 1);
    CHECK(f.mResults[0].mResponse.error().mRun == core::RunCertainty::NotRun);
    CHECK(f.mResults[0].mUnusedRetries == 2);
  }
}
