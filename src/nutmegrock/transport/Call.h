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

/// One header line.
struct Header
{
  std::string mName;
  std::string mValue;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// The value of the first header of that name, ignoring case, or null.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

/// Line and headers of a call, without hop-by-hop headers.
struct CallHead
{
  std::string mMethod;
  /// Path and query as sent.
  std::string mTarget;
  Headers mHeaders;
  /// Body length in bytes if known; absent for a chunked body.
  std::optional<std::uint64_t> mBodySize;

  bool operator==(const CallHead&) const = default;
};

/// Status and headers of an answer, without hop-by-hop headers.
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

/// Called exactly once for each call.
using ResponseHandler = std::function<void(core::Expected<Response>)>;

struct Call
{
  CallHead mHead;
  BodyReaderPtr mBody;
  CancellationPtr mCancellation;
};

/// What a listener does with a call.
using CallHandler = std::function<void(Call, ResponseHandler)>;

/// Sends calls to the backend server beside this node. An error is NotRun only
/// when no byte of the call reached a connection.
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
  /// Node run that the call is meant for; another one refuses it with
  /// WrongIncarnation.
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
