#pragma once

#include "core/Address.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace nutmegrock::tests {

/// What each client of a group does on its connection.
struct Behaviour
{
  /// Text with which it begins; the argument tells the clients apart.
  std::function<std::string(std::size_t aClient)> mFirst;
  /// Text that it sends next, again and again; empty text ends it.
  std::function<std::string(std::size_t aClient, std::size_t aTime)> mNext;
  /// Maximum bytes in one write, and seconds between two.
  std::size_t mPiece = std::size_t{ 64 } * 1024;
  double mPause = 0;
  /// Bytes that it reads at a time, every mReadPause seconds; 0 for none.
  std::size_t mReadBytes = 0;
  double mReadPause = 0.1;
  /// Connects again when the node closes the connection.
  bool mReconnects = false;
};

/// Misbehaving clients, all on one thread. They stay connected until the group
/// is destroyed.
class Group
{
public:
  Group(const core::Address& aAddress,
        std::size_t aClients,
        Behaviour aBehaviour);
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;
  ~Group();

  /// Waits until all clients have connected once, and then until none has sent
  /// anything for 0.3 s, or for the time given.
  void Settle(double aSeconds) const;
  /// Connections that are open now, as far as the clients know.
  std::size_t Connected() const { return mConnected; }
  std::size_t SentBytes() const { return mSent; }

private:
  struct Client
  {
    int mFd = -1;
    std::string mOut;
    std::size_t mTimes = 0;
    bool mEnded = false;
    double mSendAt = 0;
    double mReadAt = 0;
  };

  void Run();
  void Connect(std::size_t aIndex);
  void Send(std::size_t aIndex);
  void Read(Client& aClient) const;
  void Drop(Client& aClient);

  const core::Address mAddress;
  const Behaviour mBehaviour;
  std::vector<Client> mClients;
  std::atomic<std::size_t> mConnected{ 0 };
  std::atomic<std::size_t> mSent{ 0 };
  std::atomic<double> mSentAt{ 0 };
  std::atomic<bool> mBegun{ false };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace nutmegrock::tests
