#pragma once

#include "experiment/LoadSettings.h"
#include "experiment/Outcome.h"
#include "experiment/PooledClient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace nutmegrock::experiment {

class LoadGenerator;

/// One customer request: obtains an idempotency key if needed, sends the
/// request, resends it according to the client behaviour, and records the
/// outcome. The client latency is added before each request and after each
/// response.
class ClientOperation : public std::enable_shared_from_this<ClientOperation>
{
public:
  ClientOperation(LoadGenerator& aLoad,
                  const ClientBehaviour& aBehaviour,
                  OperationRecord aRecord,
                  core::TimePoint aArrival);

  void Start();

private:
  void RequestKey();
  void OnKey(const HttpResult& aResult);
  void Send();
  void SendDuplicate();
  HttpRequest MakeRequest() const;
  void SendWithLatency(const core::Address& aEntry,
                       HttpRequest aRequest,
                       HttpHandler aHandler);
  void RunAfter(core::Duration aPause, std::function<void()> aNext);
  void OnResponse(const HttpResult& aResult);
  void UpdateNotRun(const HttpResult& aResult);
  void Classify(const HttpResult& aResult);
  void Finish();
  const RequestKind& Kind() const;

  LoadGenerator& mLoad;
  const ClientBehaviour mBehaviour;
  const core::TimePoint mArrival;
  boost::asio::steady_timer mTimer;
  std::string mKey;
  // Responses to duplicates arrive on other threads.
  std::mutex mMutex;
  OperationRecord mRecord;
  /// Pending responses: that of the main request, and of its duplicate if any.
  unsigned mPending = 1;
};

} // namespace nutmegrock::experiment
