#pragma once

#include "core/Address.h"
#include "proxy/ClientPool.h"
#include "proxy/Streams.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace nutmegrock::gateway {

/// What a backend server reports in the response to a health check.
struct ServerHealth
{
  std::string mId;
  /// 0 if the server does not report its load.
  std::uint32_t mSlots = 0;
  /// Requests per second that it takes, if it limits them.
  std::optional<double> mRateLimit = std::nullopt;
  bool mLeaving = false;
  /// See ServerLoad.
  std::optional<std::uint32_t> mWorkPercent = std::nullopt;
  /// False if the server reports that it leaves or fails.
  bool mHealthy = true;

  bool operator==(const ServerHealth&) const = default;
};

/// One health check of the local backend server.
class ServerProbe final : public proxy::ResponseSink
{
public:
  using Handler = std::function<void(const ServerHealth&)>;

  /// Sends the check. Calls the handler when the server is healthy and reports
  /// its identity, or says that it leaves or fails. A check that the server was
  /// too busy for, or that gets no complete response, tells nothing. Destroying
  /// the probe cancels it.
  static std::shared_ptr<ServerProbe> Send(proxy::ClientPool& aPool,
                                           const core::Address& aServer,
                                           const std::string& aPath,
                                           Handler aHandler);

  explicit ServerProbe(Handler aHandler);
  ServerProbe(const ServerProbe&) = delete;
  ServerProbe& operator=(const ServerProbe&) = delete;
  ~ServerProbe() override;

  void OnResponseHead(const proxy::ResponseHead& aHead) override;
  void OnResponseBody(std::string_view aBytes) override;
  void OnResponseEnd() override;
  void OnResponseFailed(const core::Error&) override { mRequest.reset(); }
  void OnRequestSent() override {}

private:
  const Handler mHandler;
  /// What the head says; reported when the response is complete.
  std::optional<ServerHealth> mHealth;
  std::size_t mBodyBytes = 0;
  proxy::OutgoingRequestPtr mRequest;
};

} // namespace nutmegrock::gateway
