#pragma once

#include "core/CallContext.h"
#include "core/Error.h"
#include "core/Incarnation.h"
#include "core/Level.h"
#include "transport/Body.h"
#include "transport/Cancellation.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::transport {

/// One header field.
struct Header
{
  std::string mName;
  std::string mValue;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// Returns the value of the first header with that name, ignoring case, or
/// null.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

/// Request line and headers of a call, without hop-by-hop headers.
struct CallHead
{
  std::string mMethod;
  /// Path and query as received.
  std::string mTarget;
  Headers mHeaders;
  /// Body length in bytes; absent if unknown, as for a chunked body.
  std::optional<std::uint64_t> mBodySize;

  bool operator==(const CallHead&) const = default;
};

/// Status and headers of a response, without hop-by-hop headers.
struct ResponseHead
{
  unsigned mStatus = 200;
  Headers mHeaders;
  std::optional<std::uint64_t> mBodySize;

  bool operator==(const ResponseHead&) const = default;
};

struct Response
{
  ResponseHead mHead;
  BodyReaderPtr mBody;
};

/// Called exactly once per call.
using ResponseHandler = std::function<void(core::Expected<Response>)>;

struct Call
{
  CallHead mHead;
  BodyReaderPtr mBody;
  CancellationPtr mCancellation;
};

/// Handles a call that a listener has accepted.
using CallHandler = std::function<void(Call, ResponseHandler)>;

/// Sends calls to the local backend server. An error is NotRun only if no byte
/// of the call was handed to a connection.
class BackendClient
{
public:
  BackendClient() = default;
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;
  virtual ~BackendClient() = default;

  virtual void Send(Call aCall,
                    core::TimePoint aDeadline,
                    ResponseHandler aHandler) = 0;
};

/// A call from one node to another.
struct PeerCall
{
  /// Incarnation of the node that must handle the call; any other rejects it
  /// with WrongIncarnation.
  core::Incarnation mTarget;
  std::string mService;
  core::CallContext mContext;
  Call mCall;
};

struct PeerResult
{
  core::Expected<Response> mResponse;
  core::CallFeedback mFeedback;
};

using PeerResultHandler = std::function<void(PeerResult)>;
using PeerCallHandler = std::function<void(PeerCall, PeerResultHandler)>;

} // namespace nutmegrock::transport
