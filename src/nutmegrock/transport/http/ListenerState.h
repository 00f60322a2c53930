#pragma once

#include "transport/Call.h"
#include "transport/http/CallListenerSettings.h"
#include "transport/tcp/Acceptor.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace nutmegrock::transport::http {

class ServerConnection;

/// State shared by a CallListener and its connections: the listening socket,
/// the open connections and the counters. Lives until the last connection has
/// closed.
class ListenerState : public std::enable_shared_from_this<ListenerState>
{
public:
  ListenerState(boost::asio::io_context& aIo,
                const CallListenerSettings& aSettings,
                CallHandler aHandler);

  /// Starts to listen and accept. Fails with InvalidSettings if the address
  /// cannot be bound.
  core::Expected<void> Open();
  /// Closes the listening socket and stops each connection after its call in
  /// flight.
  void Stop();
  /// Closes the listening socket and all connections.
  void Close();

  const CallListenerSettings& Settings() const { return mSettings; }
  const core::Address& LocalAddress() const
  {
    return mAcceptor->LocalAddress();
  }
  void Handle(Call aCall, ResponseHandler aResponse) const;
  bool IsStopping() const { return mStopping; }

  /// Returns a token that counts one call as in flight until its last copy is
  /// destroyed.
  std::shared_ptr<void> StartCall();
  std::size_t InFlight() const { return mInFlight; }
  std::size_t Connections() const;
  std::uint64_t Refused() const { return mRefused; }
  /// Called by a connection when it has closed and no longer holds the token of
  /// its call.
  void Remove(const ServerConnection* aConnection);

private:
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  std::vector<std::shared_ptr<ServerConnection>> OpenConnections() const;

  const CallListenerSettings mSettings;
  const CallHandler mHandler;
  const std::shared_ptr<tcp::Acceptor> mAcceptor;
  std::atomic<bool> mStopping{ false };
  std::atomic<std::size_t> mInFlight{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  mutable std::mutex mMutex;
  // Weak, since a connection is kept alive by its own pending operations.
  std::unordered_map<const ServerConnection*, std::weak_ptr<ServerConnection>>
    mConnections;
};

} // namespace nutmegrock::transport::http
