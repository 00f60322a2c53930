#pragma once

#include <string>

namespace nutmegrock::proxy {

/// Names of the headers that callers and backend servers use. The adapter to a
/// platform sets its own names.
struct HeaderNames
{
  /// Id of one attempt of a caller; a backend server echoes it.
  std::string mRequestId = "Nutmegrock-Request";
  /// Time that the caller waits in milliseconds; for a backend server, the
  /// remaining time.
  std::string mDeadlineMs = "Nutmegrock-Deadline-Ms";
  /// Present in each response that a backend server generated itself.
  std::string mBackendMarker = "Nutmegrock-Seal";
  /// Id of the only backend server that may run the request.
  std::string mExpectedServer = "Nutmegrock-Expected-Server";
  /// In responses: the backend server has not run the request.
  std::string mNotRun = "Nutmegrock-Run";
  /// Service of the backend server local to the entry node.
  std::string mCallerService = "Nutmegrock-Caller-Service";
  /// In responses to health checks: id of the backend server.
  std::string mServerId = "Nutmegrock-Server";
  /// In responses: running requests, waiting requests and slots.
  std::string mLoad = "Nutmegrock-Load";
  /// In responses: requests per second that the backend server takes.
  std::string mRateLimit = "Nutmegrock-Rate-Limit";
  /// In responses, with the value 1: the backend server is leaving.
  std::string mLeaving = "Nutmegrock-Leaving";
  /// In requests to the backend server: name of the tenant. Never accepted from
  /// callers.
  std::string mTenant = "Nutmegrock-Tenant";
  /// In requests of callers: the authentication scheme and the key of a tenant.
  std::string mKey = "Authorization";
  std::string mKeyScheme = "Bearer";
};

/// Between nodes, in requests: call metadata for the serving node. Never
/// accepted from callers.
constexpr const char* kPeerCallHeader = "Nutmegrock-Peer-Call";
/// Between nodes, in responses: load, costs and failures. Never forwarded.
constexpr const char* kPeerNoteHeader = "Nutmegrock-Peer-Note";

} // namespace nutmegrock::proxy
