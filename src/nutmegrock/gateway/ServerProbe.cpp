#include "gateway/ServerProbe.h"

#include "gateway/ServerLoad.h"
#include "proxy/MessageText.h"

#include <utility>

namespace nutmegrock::gateway {

namespace {

/// Maximum size of the body of a health check's response, in bytes.
constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } * 1024;

constexpr unsigned kUnavailable = 503;

} // namespace

std::shared_ptr<ServerProbe>
ServerProbe::Send(proxy::ClientPool& aPool,
                  const core::Address& aServer,
                  const std::string& aPath,
                  Handler aHandler)
{
  auto probe = std::make_shared<ServerProbe>(std::move(aHandler));
  proxy::ClientRequest request;
  request.mHead = "GET " + aPath + " HTTP/1.1\r\n" +
                  proxy::HeaderLine("Host", aServer.ToString()) + "\r\n";
  probe->mRequest = aPool.Send(aServer, std::move(request), probe);
  return probe;
}

ServerProbe::ServerProbe(Handler aHandler)
  : mHandler(std::move(aHandler))
{
}

ServerProbe::~ServerProbe()
{
  if (mRequest) {
    mRequest->Cancel();
  }
}

void
ServerProbe::OnResponseBody(std::string_view aBytes)
{
  mBodyBytes += aBytes.size();
  if (mBodyBytes > kMaxBodyBytes && mRequest) {
    std::exchange(mRequest, nullptr)->Cancel();
  }
}

void
ServerProbe::OnResponseHead(const proxy::ResponseHead& aHead)
{
  const ServerLoad load = ParseServerLoad(aHead.mLoad);
  if (aHead.IsSuccess() && !aHead.mServerId.empty()) {
    mHealth = { aHead.mServerId,
                load.mSlots.value_or(0),
                aHead.mRateLimit,
                aHead.mLeaving,
                load.mWorkPercent };
  } else if (aHead.mStatus == kUnavailable && !aHead.mNotRun) {
    ServerHealth health;
    health.mId = aHead.mServerId;
    health.mHealthy = false;
    mHealth = health;
  }
}

void
ServerProbe::OnResponseEnd()
{
  mRequest.reset();
  if (mHealth) {
    mHandler(*mHealth);
  }
}

} // namespace nutmegrock::gateway
