#pragma once

#include "gateway/Serving.h"
#include "proxy/ServerExchange.h"
#include "proxy/Streams.h"

#include <memory>
#include <string_view>

namespace nutmegrock::gateway {

/// One request from another node: connects its exchange to the serving half.
class InboundCall final
  : public proxy::RequestSink
  , public proxy::ResponseSink
  , public std::enable_shared_from_this<InboundCall>
{
public:
  /// Accepts a request sent by another node.
  static std::shared_ptr<proxy::RequestSink> Handle(
    Serving& aServing,
    const proxy::ServerExchangePtr& aExchange);

  InboundCall(Serving& aServing, proxy::ServerExchangePtr aExchange);

  void OnRequestBody(std::string_view aBytes) override;
  void OnRequestEnd() override;
  void OnDisconnect() override;
  void OnResponseSent() override;
  std::size_t HeldBytes() const override { return mCall ? mCall->Unsent() : 0; }

  void OnResponseHead(const proxy::ResponseHead& aHead) override;
  void OnResponseBody(std::string_view aBytes) override;
  void OnResponseEnd() override;
  void OnResponseFailed(const core::Error& aError) override;
  void OnRequestSent() override;

private:
  void Start();

  Serving& mServing;
  proxy::ServerExchangePtr mExchange;
  proxy::OutgoingRequestPtr mCall;
  std::string mRoute;
  bool mCostRequested = false;
  bool mEnded = false;
};

} // namespace nutmegrock::gateway
