#include "tests/profiles/Documents.h"

#include "profiles/ProfileDifference.h"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace nutmegrock;
using namespace nutmegrock::profiles;
using namespace nutmegrock::tests;

namespace {

/// The document of DocumentOf() with one occurrence of a text replaced.
std::string
DocumentWith(const std::string& aOld, const std::string& aNew)
{
  std::string text = DocumentOf(1000);
  const auto at = text.find(aOld);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aOld.size(), aNew);
}

struct FaultCase
{
  std::string mName;
  std::string mText;
  /// Line and key of each fault.
  std::vector<std::pair<std::size_t, std::string>> mFaults;
};

const std::string kDeposit = "profiles.deposit.";

std::vector<FaultCase>
StructureFaults()
{
  return {
    { "none", DocumentOf(1000), {} },
    { "empty", "", { { 1, "" } } },
    { "not YAML", "profiles:\n  a: [", { { 2, "" } } },
    { "not a map", "- a\n", { { 1, "" } } },
    { "second document",
      DocumentOf(1) + "---\n" + DocumentOf(1),
      { { 12, "" } } },
    { "nothing", "{}", { { 1, "profiles" }, { 1, "services" } } },
    { "no profile", "profiles: {}\nservices: {}", { { 1, "profiles" } } },
    { "profiles not a map",
      "profiles: 3\nservices: {}",
      { { 1, "profiles" } } },
    { "unknown keys",
      DocumentWith("services:", "    timeout: 3\nservice: 1\nservices:"),
      { { 8, kDeposit + "timeout" }, { 9, "service" } } },
    { "missing key",
      DocumentWith("    idempotent: false\n", ""),
      { { 3, kDeposit + "idempotent" } } },
    { "duplicate key",
      DocumentWith("services:", "    idempotent: true\nservices:"),
      { { 8, kDeposit + "idempotent" } } },
    { "duplicate profile",
      DocumentWith("services:", "  deposit: {}\nservices:"),
      { { 8, "profiles.deposit" } } },
    { "name not for a header",
      DocumentWith("deposit:\n", "de posit:\n"),
      { { 2, "profiles.de posit" }, { 10, "services.till.default" } } },
  };
}

std::vector<FaultCase>
ProfileFaults()
{
  return {
    { "importance unknown",
      DocumentWith("critical", "vital"),
      { { 3, kDeposit + "importance" } } },
    { "importance not a text",
      DocumentWith("critical", "[critical]"),
      { { 3, kDeposit + "importance" } } },
    { "timeout a text",
      DocumentWith("1000", "\"1000\""),
      { { 4, kDeposit + "timeout_ms" } } },
    { "timeout a fraction",
      DocumentWith("1000", "0.5"),
      { { 4, kDeposit + "timeout_ms" } } },
    { "timeout absent",
      DocumentWith("1000", ""),
      { { 4, kDeposit + "timeout_ms" } } },
    { "timeout zero",
      DocumentWith("1000", "0"),
      { { 4, kDeposit + "timeout_ms" } } },
    { "timeout negative",
      DocumentWith("1000", "-1"),
      { { 4, kDeposit + "timeout_ms" } } },
    { "timeout over an hour",
      DocumentWith("1000", "3600001"),
      { { 4, kDeposit + "timeout_ms" } } },
    { "timeout beyond 64 bits",
      DocumentWith("1000", "99999999999999999999"),
      { { 4, kDeposit + "timeout_ms" } } },
    { "waits longer than the timeout",
      DocumentWith("max_wait_ms: 0", "max_wait_ms: 1001"),
      { { 5, kDeposit + "max_wait_ms" } } },
    { "idempotent yes",
      DocumentWith("false", "yes"),
      { { 6, kDeposit + "idempotent" } } },
    { "retries too many",
      DocumentWith("budget: 3", "budget: 65"),
      { { 7, kDeposit + "retry_budget" } } },
  };
}

std::vector<FaultCase>
ServiceFaults()
{
  return {
    { "default missing",
      DocumentWith("    default: deposit\n", "    allowed: []\n"),
      { { 10, "services.till.default" } } },
    { "default does not exist",
      DocumentWith("default: deposit", "default: pay"),
      { { 10, "services.till.default" } } },
    { "allowed not a list",
      DocumentWith("default: deposit",
                   "default: deposit\n    allowed: deposit"),
      { { 11, "services.till.allowed" } } },
    { "allowed twice and one that does not exist",
      DocumentWith(
        "default: deposit",
        "default: deposit\n    allowed:\n      - deposit\n      - deposit\n "
        "     - pay"),
      { { 13, "services.till.allowed" }, { 14, "services.till.allowed" } } },
    { "duplicate service",
      DocumentOf(1000) + "  till:\n    default: deposit\n",
      { { 11, "services.till" } } },
    { "service without a rule",
      DocumentWith("    default: deposit\n", ""),
      { { 9, "services.till" } } },
    { "several at once",
      DocumentWith("1000\n    max_wait_ms: 0", "x\n    max_wait_ms: y"),
      { { 4, kDeposit + "timeout_ms" }, { 5, kDeposit + "max_wait_ms" } } },
    { "longer than the limit",
      DocumentOf(1) + std::string(ProfileDocument::kMaxBytes, '#'),
      { { 1, "" } } },
    { "nested without end", std::string(200'000, '['), { { 1, "" } } },
  };
}

} // namespace

TEST_SUITE("profiles/ProfileDocument")
{
  TEST_CASE("every fault is listed with its line and key")
  {
    std::vector<FaultCase> cases = StructureFaults();
    for (const auto& more : { ProfileFaults(), ServiceFaults() }) {
      cases.insert(cases.end(), more.begin(), more.end());
    }
    for (const FaultCase& entry : cases) {
      CAPTURE(entry.mName);
      const auto outcome = ProfileDocument::Check(entry.mText);
      std::vector<std::pair<std::size_t, std::string>> faults;
      for (const DocumentFault& fault : outcome.mFaults) {
        CHECK(!fault.mMessage.empty());
        faults.emplace_back(fault.mLine, fault.mKey);
      }
      CAPTURE(outcome.mFaults.empty() ? ""
                                      : outcome.mFaults.front().ToString());
      CHECK((faults == entry.mFaults));
      CHECK(ProfileDocument::Parse(entry.mText, 1).has_value() ==
            entry.mFaults.empty());
    }
  }

  // Guards against a value written under a wrong key or in a wrong unit.
  TEST_CASE("a document is read into its values and written back")
  {
    const auto set = ProfileDocument::Parse(
      DocumentWith("default: deposit",
                   "default: deposit\n    allowed: [deposit]"),
      7);
    REQUIRE(set);
    CHECK(set->mVersion == 7);
    const Profile expected{
      "deposit", core::Importance::Critical, std::chrono::seconds(1), {}, false,
      3
    };
    REQUIRE(set->Find("deposit") != nullptr);
    CHECK(*set->Find("deposit") == expected);
    CHECK(set->FindService("till")->mDefaultProfile == "deposit");
    CHECK(set->FindService("till")->mAllowed ==
          std::vector<std::string>{ "deposit" });
    CHECK(ProfileDocument::Parse(ProfileDocument::Write(*set), 7) == *set);
  }

  // Guards against an example document that the program rejects.
  TEST_CASE("the example documents have no faults")
  {
    for (const std::string name : { "haufiku", "daugava" }) {
      CAPTURE(name);
      const std::ifstream file(EXAMPLES_DIR "/" + name + "-profiles.yaml");
      std::stringstream text;
      text << file.rdbuf();
      const auto set = ProfileDocument::Parse(text.str(), 1);
      REQUIRE(set);
      CHECK(set->mProfiles.size() == 4);
      CHECK(set->mServices.size() == 4);
      CHECK(ProfileDocument::Parse(ProfileDocument::Write(*set), 1) == *set);
      for (const auto& [key, profile] : set->mProfiles) {
        // Work that must not run twice is shed last.
        CHECK(profile.mIdempotent ==
              (profile.mImportance != core::Importance::Critical));
      }
    }
  }

  TEST_CASE("a difference names each changed, added and removed value")
  {
    const auto before = ProfileDocument::Parse(DocumentOf(1000), 1).value();
    auto after = ProfileDocument::Parse(DocumentOf(2000), 2).value();
    CHECK(DifferenceOf(before, before).empty());
    after.mServices["desk"] = { "deposit", { "deposit" } };
    after.mServices.erase("till");
    std::vector<std::string> texts;
    for (const ProfileChange& change : DifferenceOf(before, after)) {
      texts.push_back(change.ToString());
    }
    CHECK(texts ==
          std::vector<std::string>{ "profiles.deposit.timeout_ms: 1000 -> 2000",
                                    "services.desk.allowed: added [deposit]",
                                    "services.desk.default: added deposit",
                                    "services.till.default: removed deposit" });
  }
}

TEST_SUITE("profiles/ProfileRecord")
{
  TEST_CASE("a record is read back as it was written")
  {
    const ProfileRecord record = PublishedOf(3).mRecord;
    CHECK(ProfileRecord::Decode(record.Encode()) == record);
    CHECK(FormatTime(record.mTime) == "2023-11-14T22:13:20Z");
  }

  // Guards against activating a set that was damaged in transit or is invalid.
  TEST_CASE("a damaged record is rejected")
  {
    const std::string bytes = PublishedOf(3).mRecord.Encode();
    ProfileRecord invalid = PublishedOf(3).mRecord;
    invalid.mDocument = "profiles: {}\n";
    ProfileRecord zero = PublishedOf(3).mRecord;
    zero.mVersion = 0;
    ProfileRecord loop = PublishedOf(3).mRecord;
    loop.mPrevious.mVersion = 3;
    // Every byte is covered: a version damaged to a high number would keep
    // later publications from being activated.
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      std::string flipped = bytes;
      flipped[i] = static_cast<char>(flipped[i] ^ 1);
      CHECK(!PublishedSet::Read(flipped));
    }
    for (const std::string& damaged :
         { std::string(),
           std::string("x"),
           bytes.substr(0, bytes.size() - 1),
           bytes.substr(0, 40),
           bytes + "x",
           invalid.Encode(),
           zero.Encode(),
           loop.Encode(),
           std::string(2 * ProfileDocument::kMaxBytes, 'x') }) {
      CHECK(PublishedSet::Read(damaged).error().mKind ==
            core::ErrorKind::InvalidProfiles);
    }
    CHECK(PublishedSet::Read(bytes).value() == PublishedOf(3));
  }
}
