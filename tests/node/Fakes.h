#pragma once

#include "node/Environment.h"
#include "transport/Call.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace nutmegrock::test {

/// Clock and timers that advance only when a test calls Advance().
class FakeTime
{
public:
  node::Environment MakeEnvironment()
  {
    node::Environment environment;
    environment.mNow = [this] { return mNow; };
    environment.mSchedule = [this](core::TimePoint aTime,
                                   std::function<void()> aFunction) {
      mTimers.emplace(aTime, std::move(aFunction));
    };
    environment.mRandom = [this] { return ++mRandom; };
    return environment;
  }

  core::TimePoint Now() const { return mNow; }

  /// Advances the time and runs the timers that are due, in order.
  void Advance(core::Duration aDuration)
  {
    const core::TimePoint end = mNow + aDuration;
    while (!mTimers.empty() && mTimers.begin()->first <= end) {
      mNow = std::max(mNow, mTimers.begin()->first);
      auto function = std::move(mTimers.begin()->second);
      mTimers.erase(mTimers.begin());
      function();
    }
    mNow = end;
  }

private:
  core::TimePoint mNow{ std::chrono::hours(1) };
  std::multimap<core::TimePoint, std::function<void()>> mTimers;
  std::uint64_t mRandom = 0;
};

/// Backend client that records calls and lets the test respond to them.
class FakeBackend final : public transport::BackendClient
{
public:
  struct Sent
  {
    transport::Call mCall;
    transport::ResponseHandler mHandler;
  };

  void Send(transport::Call aCall,
            core::TimePoint,
            transport::ResponseHandler aHandler) override
  {
    mSent.push_back({ std::move(aCall), std::move(aHandler) });
  }

  /// Responds to the call at aIndex with a status and a complete body.
  void Respond(std::size_t aIndex,
               unsigned aStatus,
               const std::string& aBody = "ok")
  {
    transport::Response response;
    response.mHead.mStatus = aStatus;
    response.mBody = transport::StringBody(aBody);
    std::exchange(mSent.at(aIndex).mHandler, nullptr)(std::move(response));
  }
  void Fail(std::size_t aIndex, core::ErrorKind aKind)
  {
    std::exchange(mSent.at(aIndex).mHandler,
                  nullptr)(core::Fail(aKind, "fake"));
  }

  std::vector<Sent> mSent;
};

/// Returns the whole body of a response, or an empty string after an error.
inline std::string
BodyOf(const transport::Response& aResponse)
{
  std::string body;
  transport::ReadAll(aResponse.mBody,
                     1 << 20,
                     [&body](const core::Expected<std::string>& aBody) {
                       body = aBody.value_or("");
                     });
  return body;
}

} // namespace nutmegrock::test
