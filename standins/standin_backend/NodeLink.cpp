#include "standins/standin_backend/NodeLink.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace nutmegrock::standin_backend {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kReportInterval{ 500 };
constexpr std::chrono::milliseconds kAnnounceInterval{ 100 };
constexpr std::chrono::seconds kNodeTimeout{ 2 };
// Age of a late report in report intervals; 5 s.
constexpr std::size_t kLateReports = 10;

} // namespace

std::shared_ptr<NodeLink>
NodeLink::Create(boost::asio::io_context& aContext,
                 std::shared_ptr<BackendState> aState)
{
  return std::shared_ptr<NodeLink>(new NodeLink(aContext, std::move(aState)));
}

NodeLink::NodeLink(boost::asio::io_context& aContext,
                   std::shared_ptr<BackendState> aState)
  : mState(std::move(aState))
  , mTimer(boost::asio::make_strand(aContext))
{
}

void
NodeLink::Start()
{
  if (mState->SettingsOf().mNode.mPort != 0) {
    boost::asio::post(mTimer.get_executor(),
                      [self = shared_from_this()] { self->Tick(); });
  }
}

void
NodeLink::Schedule(std::chrono::milliseconds aPause)
{
  mTimer.expires_after(aPause);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->Tick();
      }
    });
}

void
NodeLink::Tick()
{
  if (mStopped) {
    return;
  }
  if (mAnnounced) {
    Post("/backend/report", LoadBody(), [self = shared_from_this()](bool aOk) {
      self->mAnnounced = aOk || self->mState->IsDraining();
      self->Schedule(aOk ? kReportInterval : kAnnounceInterval);
    });
    return;
  }
  const Settings& settings = mState->SettingsOf();
  std::string body =
    "{\"slots\":" + std::to_string(settings.mSlots) +
    ",\"connections\":" + std::to_string(settings.mConnections) + "}";
  Post("/backend/announce",
       std::move(body),
       [self = shared_from_this()](bool aOk) {
         self->mAnnounced = aOk;
         self->Schedule(aOk ? kReportInterval : kAnnounceInterval);
       });
}

std::string
NodeLink::LoadBody()
{
  const LoadReport kind = mState->CurrentBehaviour().mLoadReport;
  std::size_t factor = 1;
  if (kind == LoadReport::Zero) {
    factor = 0;
  } else if (kind == LoadReport::Times3) {
    factor = 3;
  }
  std::string body =
    "{\"in_use\":" + std::to_string(mState->Slots().InUse() * factor) +
    ",\"waiting\":" + std::to_string(mState->Slots().Waiting() * factor) + "}";
  mPastReports.push_back(body);
  if (mPastReports.size() > kLateReports) {
    mPastReports.pop_front();
  }
  return kind == LoadReport::Late ? mPastReports.front() : body;
}

void
NodeLink::Drain(std::function<void()> aDone)
{
  boost::asio::post(mTimer.get_executor(),
                    [self = shared_from_this(), done = std::move(aDone)] {
                      self->mState->StartDrain(core::Clock::now());
                      self->Post(
                        "/backend/drain", "{}", [done](bool) { done(); });
                    });
}

void
NodeLink::Leave(std::function<void()> aDone)
{
  boost::asio::post(mTimer.get_executor(),
                    [self = shared_from_this(), done = std::move(aDone)] {
                      self->mStopped = true;
                      self->mTimer.cancel();
                      self->Post(
                        "/backend/leave", "{}", [done](bool) { done(); });
                    });
}

void
NodeLink::Post(const std::string& aPath,
               std::string aBody,
               std::function<void(bool)> aDone)
{
  const core::Address& node = mState->SettingsOf().mNode;
  if (node.mPort == 0) {
    aDone(true);
    return;
  }
  experiment::HttpRequest request(http::verb::post, aPath, 11);
  request.set(http::field::host, node.ToString());
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(aBody);
  mState->Client().Send(node,
                        std::move(request),
                        kNodeTimeout,
                        [self = shared_from_this(), done = std::move(aDone)](
                          const experiment::HttpResult& aResult) {
                          const bool ok =
                            !aResult.mError &&
                            aResult.mResponse.result_int() / 100 == 2;
                          boost::asio::post(self->mTimer.get_executor(),
                                            [self, done, ok] { done(ok); });
                        });
}

} // namespace nutmegrock::standin_backend
