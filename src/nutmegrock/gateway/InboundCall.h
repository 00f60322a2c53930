#pragma once

#include "gateway/Serving.h"
#include "proxy/ServerExchange.h"
#include "proxy/Streams.h"

#include <memory>
#include <string_view>

namespace nutmegrock::gateway {

/// One request of another node: connects its exchange with the serving half.
class InboundCall final
  : public proxy::RequestSink
  , public proxy::AnswerSink
  , public std::enable_shared_from_this<InboundCall>
{
public:
  /// Takes a request that another node sent.
  static std::shared_ptr<proxy::RequestSink> Handle(
    Serving& aServing,
    const proxy::ServerExchangePtr& aExchange);

  InboundCall(Serving& aServing, proxy::ServerExchangePtr aExchange);

  void OnRequestBody(std::string_view aBytes) override;
  void OnRequestEnd() override;
  void OnGone() override;
  void OnAnswerSent() override;

  void OnAnswerHead(const proxy::AnswerHead& aHead) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnAnswerFailed(const core::Error& aError) override;
  void OnRequestSent() override;

private:
  void Start();

  Serving& mServing;
  proxy::ServerExchangePtr mExchange;
  proxy::OutgoingRequestPtr mCall;
  std::string mRoute;
  bool mWantsCost = false;
  bool mEnded = false;
};

} // namespace nutmegrock::gateway
