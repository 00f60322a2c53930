#include "tests/adapter/standin/BackendServer.h"

#include "tests/adapter/standin/Documents.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace nutmegrock::tests::standin {

namespace {

constexpr std::chrono::milliseconds kStep{ 20 };
constexpr double kStepSeconds = 0.005;
constexpr std::size_t kLargeBytes = std::size_t{ 4 } * 1024 * 1024;

std::int64_t
TimeOfDayMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

BackendServer::BackendServer(Settings aSettings, OnRun aOnRun)
  : mSettings(std::move(aSettings))
  , mOnRun(std::move(aOnRun))
  , mBorn(TimeOfDayMs())
  , mServer(std::make_unique<HttpServer>(
      mSettings.mAddress,
      [this](const Message& aRequest, Connection& aConnection) {
        return Answer(aRequest, aConnection);
      }))
  , mBeats([this] { Beat(); })
{
}

BackendServer::~BackendServer()
{
  mStopping = true;
  mServer.reset();
  mBeats.join();
}

void
BackendServer::Drain()
{
  mDraining = true;
  Ask(mSettings.mNotices,
      Post("instances.heartbeat", HeartbeatBody(++mSequence)),
      1);
}

void
BackendServer::Deregister()
{
  constexpr int kAttempts = 5;
  mDraining = true;
  mBeating = false;
  const std::string text =
    Post("instances.deregister", "{\"born\":" + std::to_string(mBorn) + "}");
  for (int i = 0; i < kAttempts; ++i) {
    if (Ask(mSettings.mNotices, text, 1) == 200) {
      return;
    }
    SleepFor(1);
  }
}

void
BackendServer::SendLateHeartbeat()
{
  const std::uint64_t sequence = mSequence;
  Ask(mSettings.mNotices,
      Post("instances.heartbeat",
           HeartbeatBody(sequence > 1 ? sequence - 1 : sequence)),
      1);
}

void
BackendServer::SendBadHeartbeats() const
{
  for (const char* body : { "",
                            "{\"service\":",
                            "{\"service\":\"\xff\"}",
                            "{\"service\":1,\"slots\":\"many\"}",
                            "[[[[[[]]]]]]" }) {
    Ask(mSettings.mNotices, Post("instances.heartbeat", body), 1);
  }
}

std::string
BackendServer::Post(const std::string& aCall, const std::string& aBody) const
{
  return "POST /rpc?call=" + aCall + "&of=" + mSettings.mId +
         " HTTP/1.1\r\nHost: " + mSettings.mNotices.ToString() +
         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
BackendServer::HeartbeatBody(std::uint64_t aSequence) const
{
  return R"({"service":")" + mSettings.mService + R"(","address":")" +
         mSettings.mAddress.ToString() + R"(","zone":")" + mSettings.mZone +
         R"(","version":"v1","slots":)" + std::to_string(mSettings.mSlots) +
         R"(,"state":")" + (mDraining ? "draining" : "ready") +
         R"(","coldRemainingMs":0,"sequence":)" + std::to_string(aSequence) +
         R"(,"born":)" + std::to_string(mBorn) + "}";
}

void
BackendServer::Beat()
{
  double next = Now();
  while (!mStopping) {
    if (mBeating && Now() >= next) {
      next = Now() + mSettings.mHeartbeatSeconds;
      Ask(mSettings.mNotices,
          Post("instances.heartbeat", HeartbeatBody(++mSequence)),
          1);
    }
    std::this_thread::sleep_for(kStep);
  }
}

std::string
BackendServer::Lines(const std::string& aId) const
{
  std::string lines = "Nutmegrock-Server-Load: " + std::to_string(mRunning) +
                      "," + std::to_string(mWaiting) + "," +
                      std::to_string(mSettings.mSlots) +
                      "\r\nNutmegrock-Instance-Id: " + mSettings.mId + "\r\n";
  if (!aId.empty()) {
    lines += "Nutmegrock-Request-Id: " + aId + "\r\n";
  }
  return lines;
}

bool
BackendServer::WaitForSlot(const Connection& aConnection)
{
  std::unique_lock lock(mMutex);
  ++mWaiting;
  bool gone = false;
  while (mRunning >= mSettings.mSlots && !gone) {
    mFree.wait_for(lock, kStep);
    gone = mStopping || aConnection.IsGone();
  }
  --mWaiting;
  mRunning += gone ? 0 : 1;
  return !gone;
}

void
BackendServer::FreeSlot()
{
  const std::lock_guard lock(mMutex);
  --mRunning;
  mFree.notify_one();
}

bool
BackendServer::Work(double aSeconds, const Connection& aConnection)
{
  const double end = Now() + aSeconds;
  bool gone = false;
  while (Now() < end && !gone) {
    SleepFor(std::min(kStepSeconds, std::max(0.0, end - Now())));
    gone = mStopping || aConnection.IsGone();
  }
  return !gone;
}

int
BackendServer::Call(const Message& aRequest) const
{
  const int left = std::stoi(aRequest.Header("nutmegrock-deadline-ms"));
  constexpr double kMsPerSecond = 1000;
  RequestSettings call;
  call.mId = aRequest.Header("nutmegrock-request-id") + ".call";
  call.mPath = "/item/";
  call.mDeadlineMs = left;
  return Ask(mSettings.mCaller, RequestText(call), left / kMsPerSecond);
}

bool
BackendServer::Answer(const Message& aRequest, Connection& aConnection)
{
  const std::string not_run = "Nutmegrock-Not-Executed: 1\r\n";
  if (aRequest.mSecond == "/health") {
    return aConnection.Send(ResponseText(mDraining ? 503 : 200, Lines(""), ""));
  }
  const std::string id = aRequest.Header("nutmegrock-request-id");
  if (id.empty()) {
    return aConnection.Send(ResponseText(400, Lines("") + not_run, ""));
  }
  const std::string expected = aRequest.Header("nutmegrock-expected-instance");
  if (!expected.empty() && expected != mSettings.mId) {
    return aConnection.Send(ResponseText(421, Lines(id) + not_run, ""));
  }
  if (!WaitForSlot(aConnection)) {
    return false;
  }
  mOnRun(id, mSettings.mService, Now());
  bool stays = Work(mWork, aConnection);
  int status = 200;
  if (stays && aRequest.mSecond.rfind("/nested/", 0) == 0) {
    status = Call(aRequest) == 200 ? 200 : 500;
    stays = !aConnection.IsGone();
  }
  const bool is_large = aRequest.mSecond.rfind("/large/", 0) == 0;
  FreeSlot();
  return stays && aConnection.Send(ResponseText(
                    status,
                    Lines(id) + "Nutmegrock-Server-Seal: seal." + id + "\r\n",
                    is_large ? std::string(kLargeBytes, 'x')
                             : BodyText(id, mSettings.mService)));
}

} // namespace nutmegrock::tests::standin
