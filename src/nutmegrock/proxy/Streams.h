#pragma once

#include "core/Error.h"
#include "proxy/MessageHead.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace nutmegrock::proxy {

/// Receives the response to a request. Nothing is called after OnResponseEnd()
/// or OnResponseFailed().
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
  /// There is no complete response. The error's certainty states whether the
  /// request may have run. After OnResponseHead() the body is incomplete.
  virtual void OnResponseFailed(const core::Error& aError) = 0;
  /// Bytes of the request's body were sent; Unsent() has decreased.
  virtual void OnRequestSent() = 0;
};

/// A request that is being sent.
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
  /// Pauses or resumes reading the response body.
  virtual void PauseResponse(bool aPaused) = 0;
  /// Cancels the request. The sink is not called again.
  virtual void Cancel() = 0;
};

using OutgoingRequestPtr = std::shared_ptr<OutgoingRequest>;

/// Receives the body of a request that a listener has accepted. Nothing is
/// called after OnDisconnect().
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
  /// Bytes of the response were sent; Unsent() has decreased.
  virtual void OnResponseSent() = 0;
  /// Memory that the bodies of the request and its response take.
  virtual std::size_t HeldBytes() const { return 0; }
};

/// Maximum unsent bytes on one side of a request, above which the other side is
/// paused.
constexpr std::size_t kMaxUnsent = std::size_t{ 64 } * 1024;

} // namespace nutmegrock::proxy
