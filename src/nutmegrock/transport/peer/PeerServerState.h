#pragma once

#include "transport/peer/PeerServer.h"
#include "transport/tcp/Acceptor.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace nutmegrock::transport::peer {

class PeerSession;

/// State shared by a PeerServer and its sessions. Lives until the last session
/// has closed.
class PeerServerState : public std::enable_shared_from_this<PeerServerState>
{
public:
  PeerServerState(boost::asio::io_context& aIo,
                  PeerServerSettings aSettings,
                  PeerCallHandler aCallHandler,
                  ControlHandler aControlHandler);

  /// Starts to listen and accept. Fails with InvalidSettings if the address
  /// cannot be bound.
  core::Expected<void> Open();
  /// Closes the listening socket.
  void Stop();
  /// Closes the listening socket and all sessions.
  void Close();

  const PeerServerSettings& Settings() const { return mSettings; }
  const core::Address& LocalAddress() const
  {
    return mAcceptor->LocalAddress();
  }
  const std::shared_ptr<PeerCounts>& Counts() const { return mCounts; }
  const PeerCallHandler& Calls() const { return mCallHandler; }
  const ControlHandler& Controls() const { return mControlHandler; }

  /// Returns a token that counts one call as in flight until its last copy is
  /// destroyed.
  std::shared_ptr<void> StartCall();
  std::size_t InFlight() const { return mInFlight; }
  std::size_t Connections() const;
  /// Called by a session when it has closed.
  void Remove(const PeerSession* aSession);

private:
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);

  const PeerServerSettings mSettings;
  const PeerCallHandler mCallHandler;
  const ControlHandler mControlHandler;
  const std::shared_ptr<PeerCounts> mCounts;
  const std::shared_ptr<tcp::Acceptor> mAcceptor;
  std::atomic<std::size_t> mInFlight{ 0 };
  mutable std::mutex mMutex;
  // Weak, since a session is kept alive by its own pending operations.
  std::unordered_map<const PeerSession*, std::weak_ptr<PeerSession>> mSessions;
};

} // namespace nutmegrock::transport::peer
