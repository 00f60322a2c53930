#pragma once

#include "core/Address.h"
#include "core/Time.h"
#include "proxy/ClientConnection.h"
#include "proxy/HeaderNames.h"
#include "proxy/Streams.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::proxy {

/// Counters of a pool since its start.
struct ClientPoolCounts
{
  std::uint64_t mOpened = 0;
  std::uint64_t mReused = 0;
  std::uint64_t mConnectFailed = 0;
  /// Responses or bytes that belonged to no request.
  std::uint64_t mUnexpectedResponses = 0;
};

/// Sends requests over pooled connections, the most recently used first.
/// Nothing is sent twice. Errors before a byte was handed to a connection are
/// NotRun (BackendUnreachable); later ones are Unknown: PeerLost (no response
/// began) and BackendProtocol. Used on the thread of the io_context, which must
/// outlive it.
class ClientPool
{
public:
  ClientPool(boost::asio::io_context& aIo,
             HeaderNames aNames,
             std::function<core::TimePoint()> aNow);
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;
  ~ClientPool();

  /// Sends a request. The caller owns the sink; once it is destroyed, the
  /// response is dropped.
  OutgoingRequestPtr Send(const core::Address& aAddress,
                          ClientRequest aRequest,
                          std::weak_ptr<ResponseSink> aSink);
  /// Aborts connection attempts that time out and idle connections that the
  /// other side may be about to close. To be called about ten times a second.
  void Tick();

  const ClientPoolCounts& Counts() const { return mCounts; }

  boost::asio::io_context& Io() { return mIo; }
  const HeaderNames& Names() const { return mNames; }
  core::TimePoint Now() const { return mNow(); }
  void CountUnexpectedResponse() { ++mCounts.mUnexpectedResponses; }
  void Return(const std::shared_ptr<ClientConnection>& aConnection);
  void Remove(ClientConnection* aConnection);

private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  /// Returns an idle connection that can be used, and closes those that cannot.
  ConnectionPtr TakeIdle(const std::string& aKey);
  /// Removes the most recently used connection from the idle ones. Closing a
  /// connection changes mIdle, so no reference into it is held meanwhile.
  ConnectionPtr TakeLastIdle(const std::string& aKey);

  boost::asio::io_context& mIo;
  const HeaderNames mNames;
  const std::function<core::TimePoint()> mNow;
  /// Has no empty lists.
  std::unordered_map<std::string, std::vector<ConnectionPtr>> mIdle;
  std::unordered_map<ClientConnection*, ConnectionPtr> mConnections;
  ClientPoolCounts mCounts;
};

} // namespace nutmegrock::proxy
