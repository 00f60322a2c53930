#pragma once

#include "proxy/ServerExchange.h"
#include "proxy/Streams.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegrock::gateway {

/// Collects the short body of a request that the node handles itself.
class SimpleRequest final : public proxy::RequestSink
{
public:
  /// Maximum body size, in bytes; a longer one is refused with status 413.
  static constexpr std::size_t kMaxBody = std::size_t{ 64 } * 1024;

  using Handler =
    std::function<void(proxy::ServerExchange&, const std::string& aBody)>;

  SimpleRequest(proxy::ServerExchangePtr aExchange, Handler aHandler)
    : mExchange(std::move(aExchange))
    , mHandler(std::move(aHandler))
  {
  }

  void OnRequestBody(std::string_view aBytes) override
  {
    if (mBody.size() + aBytes.size() > kMaxBody) {
      mTooLong = true;
      return;
    }
    mBody += aBytes;
  }
  void OnRequestEnd() override
  {
    if (mTooLong) {
      mExchange->SendResponse(413, {}, "the body is too long\n");
      return;
    }
    mHandler(*mExchange, mBody);
  }
  void OnDisconnect() override {}
  void OnResponseSent() override {}
  std::size_t HeldBytes() const override { return mBody.capacity(); }

private:
  proxy::ServerExchangePtr mExchange;
  const Handler mHandler;
  std::string mBody;
  bool mTooLong = false;
};

} // namespace nutmegrock::gateway
