#pragma once

#include "core/Error.h"
#include "proxy/MessageHead.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace nutmegrock::proxy {

/// Receives the answer to a request. After OnAnswerEnd() or OnAnswerFailed()
/// nothing more is called.
class AnswerSink
{
public:
  AnswerSink() = default;
  AnswerSink(const AnswerSink&) = delete;
  AnswerSink& operator=(const AnswerSink&) = delete;
  virtual ~AnswerSink() = default;

  virtual void OnAnswerHead(const AnswerHead& aHead) = 0;
  virtual void OnAnswerBody(std::string_view aBytes) = 0;
  /// The body is complete.
  virtual void OnAnswerEnd() = 0;
  /// There is no complete answer. The error's certainty tells whether the
  /// request may have run. After OnAnswerHead() the body is incomplete.
  virtual void OnAnswerFailed(const core::Error& aError) = 0;
  /// Fewer bytes of the request's body wait to be sent.
  virtual void OnRequestSent() = 0;
};

/// A request on its way to where it runs.
class OutgoingRequest
{
public:
  OutgoingRequest() = default;
  OutgoingRequest(const OutgoingRequest&) = delete;
  OutgoingRequest& operator=(const OutgoingRequest&) = delete;
  virtual ~OutgoingRequest() = default;

  virtual void SendBody(std::string_view aBytes) = 0;
  virtual void EndBody() = 0;
  /// Bytes of the body that wait to be sent.
  virtual std::size_t Unsent() const = 0;
  /// Stops or resumes the answer's body.
  virtual void PauseAnswer(bool aPaused) = 0;
  /// Gives the request up. The sink is not called again.
  virtual void Cancel() = 0;
};

using OutgoingRequestPtr = std::shared_ptr<OutgoingRequest>;

/// Receives the body of a request that a listener has accepted. After OnGone()
/// nothing more is called.
class RequestSink
{
public:
  RequestSink() = default;
  RequestSink(const RequestSink&) = delete;
  RequestSink& operator=(const RequestSink&) = delete;
  virtual ~RequestSink() = default;

  virtual void OnRequestBody(std::string_view aBytes) = 0;
  virtual void OnRequestEnd() = 0;
  /// The caller has closed its connection.
  virtual void OnGone() = 0;
  /// Fewer bytes of the answer wait to be sent.
  virtual void OnAnswerSent() = 0;
};

/// Bytes that may wait on one side of a request before the other side is
/// paused.
constexpr std::size_t kMostUnsent = std::size_t{ 64 } * 1024;

} // namespace nutmegrock::proxy
