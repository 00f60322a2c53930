#include "gateway/LearnedCosts.h"
#include "tests/membership/FakeTable.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using nutmegrock::membership::FakeTable;

namespace {

const LearnedState kState = {
  { { "check", { { { "dispatch", 0.3 }, { "tracker", 0.1 } }, true, false } },
    { "roster", { { { "dispatch", 0.03 } }, true, true } } },
  { { "ledger", "dispatch" } }
};

/// Returns the state that a node reads at its start, if they arrive within a
/// second.
std::optional<LearnedState>
ReadAtStart(const std::shared_ptr<FakeTable>& aTable)
{
  std::promise<LearnedState> read;
  auto future = read.get_future();
  LearnedCosts learned(
    aTable,
    "till",
    { [&read](LearnedState aState) { read.set_value(std::move(aState)); },
      [](const std::string&) {} });
  if (future.wait_for(std::chrono::seconds(1)) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

bool
WaitForRow(FakeTable& aTable, const std::string& aValue)
{
  for (int i = 0; i < 200; ++i) {
    const auto row = aTable.Read("costs/till");
    if (row && *row && (*row)->mValue == aValue) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace

// Failure: all nodes crash at once. Guards against a restarted system that
// admits everything until it has learned the call graph again.
TEST_CASE("what was learned outlives all nodes")
{
  const auto table = std::make_shared<FakeTable>();
  CHECK(!ReadAtStart(table).has_value());
  {
    LearnedCosts learned(
      table, "till", { [](const LearnedState&) {}, [](const std::string&) {} });
    learned.Save(kState);
    CHECK(WaitForRow(*table, EncodeLearned(kState)));
  }
  const auto read = ReadAtStart(table);
  REQUIRE(read.has_value());
  CHECK(*read == kState);
}

// Failure: two nodes of a service both consider themselves the writer.
TEST_CASE("a row that another node has written is replaced")
{
  const auto table = std::make_shared<FakeTable>();
  LearnedCosts learned(
    table, "till", { [](const LearnedState&) {}, [](const std::string&) {} });
  learned.Save({});
  REQUIRE(WaitForRow(*table, ""));
  const auto row = table->Read("costs/till");
  REQUIRE(table->Write("costs/till", "check 1o", (*row)->mVersion).has_value());
  learned.Save(kState);
  CHECK(WaitForRow(*table, EncodeLearned(kState)));
}

// Failure: the store loses the row, or has an older one whose version is given
// out again.
TEST_CASE("a row that the store has lost is written again")
{
  const auto table = std::make_shared<FakeTable>();
  LearnedCosts learned(
    table, "till", { [](const LearnedState&) {}, [](const std::string&) {} });
  learned.Save(kState);
  REQUIRE(WaitForRow(*table, EncodeLearned(kState)));
  REQUIRE(table->Remove("costs/till").has_value());
  learned.Save(kState);
  CHECK(WaitForRow(*table, EncodeLearned(kState)));
  table->Put("costs/till", "check 1o");
  learned.Save(kState);
  CHECK(WaitForRow(*table, EncodeLearned(kState)));
}

// Failure: the store is away when what was learned is due. Guards against a row
// that stays missing until the costs change.
TEST_CASE("a state whose write failed is written when the store answers again")
{
  const auto table = std::make_shared<FakeTable>();
  std::promise<void> failed;
  auto future = failed.get_future();
  LearnedCosts learned(
    table,
    "till",
    { [](const LearnedState&) {},
      [&failed](const std::string&) { failed.set_value(); } });
  table->mRefuseWrites = true;
  learned.Save(kState);
  REQUIRE(future.wait_for(std::chrono::seconds(2)) ==
          std::future_status::ready);
  table->mRefuseWrites = false;
  // The failure is logged just before the state is kept.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  learned.Retry();
  CHECK(WaitForRow(*table, EncodeLearned(kState)));
}

TEST_CASE("an unreadable row is logged and ignored")
{
  const auto table = std::make_shared<FakeTable>();
  REQUIRE(table->Write("costs/till", "check what:ever", 0).has_value());
  std::promise<std::string> line;
  auto future = line.get_future();
  bool read = false;
  {
    LearnedCosts learned(
      table,
      "till",
      { [&read](const LearnedState&) { read = true; },
        [&line](const std::string& aLine) { line.set_value(aLine); } });
    REQUIRE(future.wait_for(std::chrono::seconds(2)) ==
            std::future_status::ready);
  }
  CHECK(future.get().starts_with("event=costs_unusable"));
  CHECK(!read);
}

TEST_CASE("what was learned round-trips through its text form")
{
  CHECK(DecodeLearned(EncodeLearned(kState)) == kState);
  CHECK(DecodeLearned("") == LearnedState{});
  // Rows of earlier versions have no calls.
  CHECK(DecodeLearned("roster 1i,dispatch:30\n")->mCosts.size() == 1);
  for (const char* text : { "check",
                            "check ",
                            "check 1",
                            "check 2o",
                            "check 1o,dispatch",
                            "check 1o,dispatch:-3",
                            "check 1o,dispatch:3 more",
                            " 1o,dispatch:3",
                            "calls ledger",
                            "calls ledger ",
                            "calls  dispatch" }) {
    CAPTURE(text);
    CHECK(!DecodeLearned(text).has_value());
  }
}
