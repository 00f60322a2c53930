#pragma once

#include <string>

namespace nutmegrock::proxy {

/// Names of the headers that callers and backend servers use for the facts
/// below. The adapter to a platform gives its own names.
struct HeaderNames
{
  /// Identity of one attempt of a caller; a backend server repeats it.
  std::string mRequestId = "Nutmegrock-Request";
  /// Milliseconds that the caller waits; for a backend server what is left.
  std::string mDeadlineMs = "Nutmegrock-Deadline-Ms";
  /// Present in each answer that a backend server made itself.
  std::string mBackendMarker = "Nutmegrock-Seal";
  /// Identity of the only backend server that may run the request.
  std::string mExpectedServer = "Nutmegrock-Expected-Server";
  /// In answers: the backend server has not run the request.
  std::string mNotRun = "Nutmegrock-Run";
  /// Service of the backend server beside which the request began.
  std::string mCallerService = "Nutmegrock-Caller-Service";
  /// In answers to health checks: identity of the backend server.
  std::string mServerId = "Nutmegrock-Server";
  /// In answers: running requests, waiting requests and slots.
  std::string mLoad = "Nutmegrock-Load";
};

/// Between nodes, in requests: what the serving node has to know. Never
/// accepted from callers.
constexpr const char* kPeerCallHeader = "Nutmegrock-Peer-Call";
/// Between nodes, in answers: load, costs and failures. Never passed on.
constexpr const char* kPeerNoteHeader = "Nutmegrock-Peer-Note";

} // namespace nutmegrock::proxy
