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

/// One customer request: obtains a key if it needs one, sends, resends as the
/// client behaves, and records the outcome. The latency to clients is added
/// before each request and after each answer.
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
  void SendCopy();
  HttpRequest MakeRequest() const;
  void Exchange(const core::Address& aEntry,
                HttpRequest aRequest,
                HttpHandler aHandler);
  void After(core::Duration aPause, std::function<void()> aNext);
  void OnResponse(const HttpResult& aResult);
  void NoteRun(const HttpResult& aResult);
  void Classify(const HttpResult& aResult);
  void Finish();
  const RequestKind& Kind() const;

  LoadGenerator& mLoad;
  const ClientBehaviour mBehaviour;
  const core::TimePoint mArrival;
  boost::asio::steady_timer mTimer;
  std::string mKey;
  // Copies answer on other threads.
  std::mutex mMutex;
  OperationRecord mRecord;
  /// Answers still expected: the main send, and a copy if there is one.
  unsigned mPending = 1;
};

} // namespace nutmegrock::experiment
