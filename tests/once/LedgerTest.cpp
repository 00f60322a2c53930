#include "once/Dispatch.h"
#include "once/ExecutionLedger.h"
#include "once/KeyOwner.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::once;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kNow{ 1h };
const core::Address kAddress{ "127.0.0.1", 7002 };
const core::Incarnation kExecutor{ 9 };

KeyOwnerSettings
Settings()
{
  KeyOwnerSettings settings;
  settings.mSelf = { 7 };
  settings.mAddress = kAddress;
  settings.mSecret = "secret";
  return settings;
}

std::shared_ptr<const Outcome>
PaidOutcome()
{
  return std::make_shared<Outcome>(Outcome{ 200, {}, "paid", true });
}

} // namespace

TEST_SUITE("once/Ledger")
{
  TEST_CASE("keys round-trip and forged or damaged ones are refused")
  {
    const IdempotencyKey key{ { 7 }, kAddress, 3 };
    const std::string text = key.ToString("secret");
    CHECK(*IdempotencyKey::Parse(text, "secret") == key);
    CHECK(*Dispatch::Parse(Dispatch{ key, 4 }.ToString("secret"), "secret") ==
          Dispatch{ key, 4 });
    std::string changed = text;
    changed[10] = changed[10] == '0' ? '1' : '0';
    for (const std::string& bad : { changed,
                                    std::string(),
                                    std::string("nk1____"),
                                    text + "0",
                                    std::string(200, 'a'),
                                    key.ToString("other") }) {
      const auto parsed = IdempotencyKey::Parse(bad, "secret");
      REQUIRE_FALSE(parsed.has_value());
      CHECK(parsed.error().mKind == core::ErrorKind::KeyInvalid);
    }
    for (const char* number : { "", "#", "#x", "#99999999999" }) {
      CHECK_FALSE(Dispatch::Parse(text + number, "secret").has_value());
    }
  }

  TEST_CASE("a repeated call gets the known outcome")
  {
    auto owner = *KeyOwner::Create(Settings());
    const IdempotencyKey key = owner->Issue();
    CHECK(owner->Begin(kNow, key, 1).mAction == BeginAction::Dispatch);
    CHECK(owner->OnDispatch(key, kExecutor, kAddress) == 1);
    CHECK(owner->OnDispatch(key, { 10 }, kAddress) == 0);
    CHECK(owner->Begin(kNow, key, 1).mAction == BeginAction::Busy);
    owner->OnOutcome(key, kExecutor, PaidOutcome());
    owner->End(kNow, key);
    const auto again = owner->Begin(kNow, key, 1);
    REQUIRE(again.mAction == BeginAction::OutcomeKnown);
    CHECK(again.mOutcome->mBody == "paid");
    CHECK(owner->Begin(kNow, key, 2).mAction == BeginAction::Reused);
  }

  TEST_CASE("each settle result leads to its next action")
  {
    struct Case
    {
      SettleState mState;
      BeginAction mNext;
    };
    const Case cases[] = { { SettleState::Fenced, BeginAction::Dispatch },
                           { SettleState::Running, BeginAction::Settle },
                           { SettleState::Done, BeginAction::OutcomeKnown },
                           { SettleState::Unknown, BeginAction::Unknown } };
    for (const Case& c : cases) {
      auto owner = *KeyOwner::Create(Settings());
      const IdempotencyKey key = owner->Issue();
      owner->Begin(kNow, key, 1);
      owner->OnDispatch(key, kExecutor, kAddress);
      owner->End(kNow, key);
      const auto settle = owner->Begin(kNow, key, 1);
      REQUIRE(settle.mAction == BeginAction::Settle);
      CHECK(settle.mExecutor == kExecutor);
      CHECK(settle.mNumber == 1);
      owner->OnSettled(key, kExecutor, c.mState, PaidOutcome());
      owner->End(kNow, key);
      CHECK(owner->Begin(kNow, key, 1).mAction == c.mNext);
    }
  }

  // Dispatching a forgotten key again would run the call twice.
  TEST_CASE("a forgotten key is unknown and never dispatched")
  {
    KeyOwnerSettings settings = Settings();
    settings.mMaxKeys = 32;
    auto owner = *KeyOwner::Create(settings);
    std::vector<IdempotencyKey> keys;
    for (int i = 0; i < 200; ++i) {
      keys.push_back(owner->Issue());
      CHECK(owner->Begin(kNow, keys.back(), 1).mAction ==
            BeginAction::Dispatch);
      owner->End(kNow, keys.back());
    }
    CHECK(owner->Size() <= 32);
    CHECK(owner->Begin(kNow, keys.front(), 1).mAction == BeginAction::Unknown);
    // A key that was never issued, for example one of an earlier incarnation.
    CHECK(owner->Begin(kNow, IdempotencyKey{ { 7 }, kAddress, 10'000 }, 1)
            .mAction == BeginAction::Unknown);
  }

  // Forgetting a key in use would lose the state that prevents a second run.
  TEST_CASE(
    "keys in use are kept and further ones refused when there is no room")
  {
    KeyOwnerSettings settings = Settings();
    settings.mMaxKeys = 16;
    auto owner = *KeyOwner::Create(settings);
    for (int i = 0; i < 16; ++i) {
      CHECK(owner->Begin(kNow, owner->Issue(), 1).mAction ==
            BeginAction::Dispatch);
    }
    CHECK(owner->Begin(kNow + 24h, owner->Issue(), 1).mAction ==
          BeginAction::Full);
  }

  TEST_CASE("an executor runs a dispatch once and never runs a fenced key")
  {
    auto ledger = *ExecutionLedger::Create({});
    const IdempotencyKey key{ { 7 }, kAddress, 3 };
    CHECK(ledger->TryStart(kNow, { key, 1 }));
    CHECK_FALSE(ledger->TryStart(kNow, { key, 1 }));
    CHECK(ledger->Settle(kNow, { key, 1 }).mState == SettleState::Running);
    ledger->OnNotRun({ key, 1 });
    CHECK(ledger->Settle(kNow, { key, 1 }).mState == SettleState::Fenced);
    CHECK(ledger->Settle(kNow, { key, 2 }).mState == SettleState::Fenced);
    CHECK_FALSE(ledger->TryStart(kNow, { key, 2 }));
    CHECK(ledger->TryStart(kNow, { key, 3 }));
    ledger->OnDone({ key, 3 }, PaidOutcome());
    const auto done = ledger->Settle(kNow, { key, 3 });
    CHECK(done.mState == SettleState::Done);
    CHECK(done.mOutcome->mBody == "paid");
  }

  // A dispatch delayed for longer than the retention must not run.
  TEST_CASE("a dispatch below the floor of its owner is refused")
  {
    auto ledger = *ExecutionLedger::Create({});
    const auto key = [](std::uint64_t aSequence) {
      return IdempotencyKey{ { 7 }, kAddress, aSequence };
    };
    CHECK(ledger->Settle(kNow, { key(16), 1 }).mState == SettleState::Fenced);
    CHECK(ledger->TryStart(kNow + 1h, { key(32), 1 }));
    CHECK(ledger->Size() == 1);
    CHECK_FALSE(ledger->TryStart(kNow + 1h, { key(16), 1 }));
    CHECK(ledger->Settle(kNow + 1h, { key(16), 1 }).mState ==
          SettleState::Unknown);
  }
}
