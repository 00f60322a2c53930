#include "tests/clients/Group.h"

#include "tests/adapter/standin/Http.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace nutmegrock::tests {

using standin::Now;
using standin::SleepFor;

namespace {

constexpr double kStep = 0.005;
constexpr double kQuiet = 0.3;
/// Receive buffer of a client in bytes, so that what it does not read fills the
/// buffers of the node instead of those of the system.
constexpr int kReceiveBuffer = 4096;

} // namespace

Group::Group(const core::Address& aAddress,
             std::size_t aClients,
             Behaviour aBehaviour)
  : mAddress(aAddress)
  , mBehaviour(std::move(aBehaviour))
  , mClients(aClients)
  , mSentAt(Now())
  , mThread([this] { Run(); })
{
}

Group::~Group()
{
  mStopping = true;
  mThread.join();
  for (const Client& client : mClients) {
    if (client.mFd >= 0) {
      close(client.mFd);
    }
  }
}

void
Group::Settle(double aSeconds) const
{
  while (!mBegun) {
    SleepFor(kStep);
  }
  const double until = Now() + aSeconds;
  while (Now() < until && Now() < mSentAt + kQuiet) {
    SleepFor(kStep);
  }
}

void
Group::Connect(std::size_t aIndex)
{
  Client& client = mClients[aIndex];
  const int fd = standin::Connection::Open(mAddress);
  if (fd < 0) {
    return;
  }
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
  client.mFd = fd;
  client.mTimes = 0;
  client.mEnded = false;
  client.mOut = mBehaviour.mFirst ? mBehaviour.mFirst(aIndex) : "";
  ++mConnected;
}

void
Group::Drop(Client& aClient)
{
  close(std::exchange(aClient.mFd, -1));
  aClient.mEnded = !mBehaviour.mReconnects;
  aClient.mSendAt = Now() + kQuiet;
  --mConnected;
}

void
Group::Send(std::size_t aIndex)
{
  Client& client = mClients[aIndex];
  if (client.mOut.empty() && mBehaviour.mNext && !client.mEnded) {
    client.mOut = mBehaviour.mNext(aIndex, client.mTimes++);
  }
  if (client.mOut.empty()) {
    client.mEnded = true;
    return;
  }
  const ssize_t sent = send(client.mFd,
                            client.mOut.data(),
                            std::min(client.mOut.size(), mBehaviour.mPiece),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    client.mOut.erase(0, static_cast<std::size_t>(sent));
    client.mSendAt = Now() + mBehaviour.mPause;
    mSent += static_cast<std::size_t>(sent);
    mSentAt = Now();
  } else if (errno != EAGAIN) {
    Drop(client);
  }
}

void
Group::Read(Client& aClient) const
{
  std::string bytes(mBehaviour.mReadBytes, '\0');
  aClient.mReadAt = Now() + mBehaviour.mReadPause;
  recv(aClient.mFd, bytes.data(), bytes.size(), MSG_DONTWAIT);
}

void
Group::Run()
{
  for (std::size_t i = 0; i < mClients.size() && !mStopping; ++i) {
    Connect(i);
  }
  mSentAt = Now();
  mBegun = true;
  while (!mStopping) {
    for (std::size_t i = 0; i < mClients.size() && !mStopping; ++i) {
      Client& client = mClients[i];
      if (client.mFd < 0) {
        if (mBehaviour.mReconnects && Now() >= client.mSendAt) {
          Connect(i);
        }
        continue;
      }
      if (Now() >= client.mSendAt) {
        Send(i);
      }
      if (client.mFd >= 0 && mBehaviour.mReadBytes > 0 &&
          Now() >= client.mReadAt) {
        Read(client);
      }
    }
    SleepFor(kStep);
  }
}

} // namespace nutmegrock::tests
