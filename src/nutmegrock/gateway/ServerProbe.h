#pragma once

#include "core/Address.h"
#include "proxy/ClientPool.h"
#include "proxy/Streams.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::gateway {

/// What a backend server reports in the response to a health check.
struct ServerHealth
{
  std::string mId;
  std::uint32_t mSlots = 0;

  bool operator==(const ServerHealth&) const = default;
};

/// One health check of the local backend server.
class ServerProbe final : public proxy::ResponseSink
{
public:
  using Handler = std::function<void(const ServerHealth&)>;

  /// Sends the check. Calls the handler when the server is healthy and reports
  /// its identity; otherwise nothing happens. Destroying the probe drops the
  /// response.
  static std::shared_ptr<ServerProbe> Send(proxy::ClientPool& aPool,
                                           const core::Address& aServer,
                                           const std::string& aPath,
                                           Handler aHandler);

  explicit ServerProbe(Handler aHandler);

  void OnResponseHead(const proxy::ResponseHead& aHead) override;
  void OnResponseBody(std::string_view) override {}
  void OnResponseEnd() override {}
  void OnResponseFailed(const core::Error&) override {}
  void OnRequestSent() override {}

private:
  const Handler mHandler;
  proxy::OutgoingRequestPtr mRequest;
};

} // namespace nutmegrock::gateway
