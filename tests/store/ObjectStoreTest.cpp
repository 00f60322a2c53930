#include "tests/store/Subjects.h"

using namespace nutmegrock;
using namespace nutmegrock::tests;
using core::ErrorKind;
using standins::PlatformFaults;

TEST_SUITE("store/ObjectStore")
{
  TEST_CASE("an object is read back byte for byte")
  {
    const std::string binary("\0\r\n\xff%2F", 7);
    const std::vector<std::pair<std::string, std::string>> cases = {
      { "profiles/17 a%2Fü", "text\n" },
      { "binary", binary },
      { "empty", "" },
      { "large", std::string(300'000, 'x') },
    };
    ForEachSubject([&cases](const Subject& aSubject) {
      for (const auto& entry : cases) {
        const std::string& name = entry.first;
        const std::string& bytes = entry.second;
        CAPTURE(name);
        CHECK(aSubject.mObjects.Get(name).value() == std::nullopt);
        CHECK(aSubject.mObjects.Put(name, "old").value());
        CHECK(aSubject.mObjects.Put(name, bytes).value());
        CHECK(aSubject.mObjects.Get(name).value() == bytes);
      }
    });
  }

  // Guards against reporting success for a write that may not have taken
  // effect.
  TEST_CASE("faults")
  {
    struct Case
    {
      const char* mName;
      PlatformFaults mFaults;
      bool mReadFails;
      bool mTakesEffect;
    };
    const std::vector<Case> cases = {
      { "down", { .mDown = true }, true, false },
      { "slow", { .mDelay = 2 * kShortTimeout }, true, true },
      { "response lost", { .mLoseResponses = 1 }, false, true },
    };
    ForEachSubject([&cases](const Subject& aSubject) {
      for (const Case& entry : cases) {
        CAPTURE(entry.mName);
        REQUIRE(aSubject.mObjects.Put(entry.mName, "one"));
        aSubject.mState.SetFaults(entry.mFaults);
        const auto written = aSubject.mObjects.Put(entry.mName, "two");
        REQUIRE(!written);
        CHECK(written.error().mKind == ErrorKind::StoreUnavailable);
        CHECK(aSubject.mObjects.Get(entry.mName).has_value() !=
              entry.mReadFails);
        aSubject.mState.SetFaults({});
        CHECK(aSubject.mObjects.Get(entry.mName).value() ==
              (entry.mTakesEffect ? "two" : "one"));
      }
    });
  }
}
