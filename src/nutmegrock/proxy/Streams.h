#pragma once

#include "core/Error.h"
#include "proxy/MessageHead.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace nutmegrock::proxy {

/// Receives the answer to a request. After OnResponseEnd() or
/// OnResponseFailed() nothing more is called.
class ResponseSink
{
public:
  ResponseSink() = default;
  ResponseSink(const ResponseSink&) = delete;
  ResponseSink& operator=(const ResponseSink&) = delete;
  virtual ~ResponseSink() = default;

  virtual void OnResponseHead(const ResponseHead& aHead) = 0;
  virtual void OnResponseBody(std::string_view aBytes) = 0;
  /// The body is complete.
  virtual void OnResponseEnd() = 0;
  /// There is no complete answer. The error's certainty tells whether the
  /// request may have run. After OnResponseHead() the body is incomplete.
  virtual void OnResponseFailed(const core::Error& aError) = 0;
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
  virtual void PauseResponse(bool aPaused) = 0;
  /// Gives the request up. The sink is not called again.
  virtual void Cancel() = 0;
};

using OutgoingRequestPtr = std::shared_ptr<OutgoingRequest>;

/// Receives the body of a request that a listener has accepted. After
/// OnDisconnect() nothing more is called.
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
  virtual void OnDisconnect() = 0;
  /// Fewer bytes of the answer wait to be sent.
  virtual void OnResponseSent() = 0;
};

/// Bytes that may wait on one side of a request before the other side is
/// paused.
constexpr std::size_t kMaxUnsent = std::size_t{ 64 } * 1024;

} // namespace nutmegrock::proxy
