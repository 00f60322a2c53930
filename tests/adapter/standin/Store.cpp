#include "tests/adapter/standin/Store.h"

#include <chrono>
#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>
#include <utility>

namespace nutmegrock::tests::standin {

namespace {

using web::json::value;

std::string
Query(const std::string& aTarget, const std::string& aName)
{
  const auto fields = web::uri::split_query(web::uri(aTarget).query());
  const auto found = fields.find(aName);
  return found == fields.end() ? "" : web::uri::decode(found->second);
}

template<class Row>
std::string
RowText(const std::string& aTable, const std::string& aKey, const Row& aRow)
{
  value row = value::object();
  row["table"] = value(aTable);
  row["part"] = value(std::string());
  row["key"] = value(aKey);
  if (aRow.mDeleted) {
    row["deleted"] = value(true);
  } else {
    row["value"] = value(aRow.mValue);
  }
  row["ver"] = value(aRow.mVer);
  return row.serialize();
}

} // namespace

Store::~Store()
{
  mStopping = true;
  mServers.clear();
}

void
Store::Listen(const core::Address& aAddress)
{
  const std::size_t index = mServers.size();
  mStates.push_back(std::make_unique<std::atomic<State>>(State::Up));
  mServers.push_back(std::make_unique<HttpServer>(
    aAddress, [this, index](const Message& aRequest, Connection& aConnection) {
      return Answer(index, aRequest, aConnection);
    }));
}

void
Store::Set(State aState)
{
  for (const auto& state : mStates) {
    *state = aState;
  }
}

void
Store::Set(std::size_t aIndex, State aState)
{
  *mStates[aIndex] = aState;
}

void
Store::SilenceOpenConnections()
{
  mSilentBefore = Now();
}

void
Store::Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aBytes)
{
  const std::lock_guard lock(mMutex);
  Put(aTable,
      aKey,
      utility::conversions::to_base64({ aBytes.begin(), aBytes.end() }));
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           std::string aValue)
{
  mTables[aTable][aKey] = { std::move(aValue), ++mVer, false };
  mChanged.notify_all();
}

std::string
Store::Tail() const
{
  constexpr double kMsPerSecond = 1000;
  return "\"ver\":" + std::to_string(mVer) + ",\"nowMs\":" +
         std::to_string(static_cast<std::int64_t>(Now() * kMsPerSecond)) + "}";
}

bool
Store::Answer(std::size_t aIndex,
              const Message& aRequest,
              Connection& aConnection)
{
  constexpr double kStep = 0.02;
  const auto is_silent = [&] { return aConnection.OpenedAt() < mSilentBefore; };
  if (mStates[aIndex]->load() == State::Slow) {
    SleepFor(1);
  }
  const State state = *mStates[aIndex];
  if (state == State::Down) {
    return false;
  }
  std::string body;
  int status = 200;
  if (state == State::Unavailable || state == State::Busy) {
    status = state == State::Busy ? 429 : 503;
    body = "{}";
  } else if (aRequest.mSecond.rfind("/rows-get", 0) == 0) {
    status = Get(aRequest.mSecond, body);
  } else if (aRequest.mSecond.rfind("/rows-feed", 0) == 0) {
    status = Feed(aIndex, aRequest.mSecond, body);
  } else if (aRequest.mSecond.rfind("/rows-tx", 0) == 0) {
    status = Change(aRequest.mBody, body);
  } else {
    status = 404;
    body = "{}";
  }
  while (is_silent() && !mStopping && !aConnection.IsGone()) {
    SleepFor(kStep);
  }
  return status != 0 && !is_silent() &&
         aConnection.Send(
           ResponseText(status, "Content-Type: application/json\r\n", body));
}

int
Store::Get(const std::string& aTarget, std::string& aBody)
{
  const std::string table = Query(aTarget, "table");
  const std::string from = Query(aTarget, "from");
  const std::string target = Query(aTarget, "target");
  const std::lock_guard lock(mMutex);
  aBody = "{\"rows\":[";
  for (const auto& [key, row] : mTables[table]) {
    if (!row.mDeleted && key >= from && (target.empty() || key < target)) {
      aBody += (aBody.back() == '[' ? "" : ",") + RowText(table, key, row);
    }
  }
  aBody += "],\"hasMore\":false," + Tail();
  return 200;
}

int
Store::Feed(std::size_t aIndex, const std::string& aTarget, std::string& aBody)
{
  constexpr double kMsPerSecond = 1000;
  constexpr std::chrono::milliseconds kStep{ 20 };
  const std::string table = Query(aTarget, "table");
  const std::uint64_t after =
    std::strtoull(Query(aTarget, "after").c_str(), nullptr, 10);
  const double until =
    Now() + std::atof(Query(aTarget, "waitMs").c_str()) / kMsPerSecond;
  std::unique_lock lock(mMutex);
  std::map<std::uint64_t, std::string> changed;
  for (;;) {
    for (const auto& [key, row] : mTables[table]) {
      if (row.mVer > after) {
        changed[row.mVer] = RowText(table, key, row);
      }
    }
    if (!changed.empty() || Now() >= until) {
      break;
    }
    if (mStopping || mStates[aIndex]->load() == State::Down) {
      return 0;
    }
    mChanged.wait_for(lock, kStep);
  }
  aBody = "{\"rows\":[";
  for (const auto& [ver, text] : changed) {
    aBody += (aBody.back() == '[' ? "" : ",") + text;
  }
  aBody += "]," + Tail();
  return 200;
}

int
Store::Change(const std::string& aText, std::string& aBody)
{
  const value call = value::parse(aText);
  const auto entries = [&call](const char* aName) {
    return call.has_field(aName) ? call.at(aName).as_array()
                                 : value::array().as_array();
  };
  const std::lock_guard lock(mMutex);
  for (const value& entry : entries("expectedRev")) {
    const std::string table = entry.at("table").as_string();
    const std::string key = entry.at("key").as_string();
    const auto found = mTables[table].find(key);
    const bool exists =
      found != mTables[table].end() && !found->second.mDeleted;
    if ((exists ? found->second.mVer : 0) !=
        entry.at("ver").as_number().to_uint64()) {
      aBody = "{\"rows\":[" +
              (exists ? RowText(table, key, found->second) : "") + "]," +
              Tail();
      return 412;
    }
  }
  for (const value& entry : entries("puts")) {
    Put(entry.at("table").as_string(),
        entry.at("key").as_string(),
        entry.at("value").as_string());
  }
  for (const value& entry : entries("remove")) {
    auto& rows = mTables[entry.at("table").as_string()];
    const auto found = rows.find(entry.at("key").as_string());
    if (found != rows.end()) {
      found->second = { "", ++mVer, true };
    }
  }
  mChanged.notify_all();
  aBody = "{" + Tail();
  return 200;
}

} // namespace nutmegrock::tests::standin
