#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"
#include "proxy/BufferBudget.h"
#include "proxy/ConnectionChoice.h"
#include "proxy/HeaderNames.h"
#include "proxy/ServerConnection.h"
#include "proxy/ServerExchange.h"
#include "routes/Route.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace nutmegrock::proxy {

/// Why a connection is closed for the behaviour of its caller.
enum class CloseReason : std::uint8_t
{
  /// A new connection takes its place.
  Room,
  /// The memory of the process is short.
  Memory,
  /// The caller makes no progress for too long.
  Stalled
};

struct HttpListenerSettings
{
  core::Address mAddress;
  HeaderNames mNames;
  routes::CallerLimits mLimits;
  /// Maximum open connections. Beyond it the connection that ChooseForRoom()
  /// names is closed, or, if there is none, the new one.
  std::size_t mMaxConnections = 2'000;
  /// Limits the memory of the process. Null for no limit.
  BufferBudget* mBudget = nullptr;
  /// Called before a connection is closed for its caller's behaviour.
  std::function<void(CloseReason, const ConnectionState&)> mOnClose;
};

/// Accepts HTTP/1.1 connections and passes each request to a handler. Used on
/// the thread of the io_context, which must outlive it.
class HttpListener
{
public:
  /// Binds and listens. Fails with InvalidSettings if the address cannot be
  /// bound. aNow returns the current time.
  static core::Expected<std::unique_ptr<HttpListener>> Create(
    boost::asio::io_context& aIo,
    HttpListenerSettings aSettings,
    std::function<core::TimePoint()> aNow,
    RequestHandler aHandler);

  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;
  ~HttpListener();

  /// The bound address, with the port chosen by the system if 0 was requested.
  const core::Address& LocalAddress() const { return mSettings.mAddress; }
  /// Sets the limits for requests that begin later.
  void SetLimits(const routes::CallerLimits& aLimits);
  const routes::CallerLimits& Limits() const { return mSettings.mLimits; }
  const HeaderNames& Names() const { return mSettings.mNames; }
  core::TimePoint Now() const { return mNow(); }

  /// Applies the timeouts. To be called a few times a second.
  void Tick();
  /// From now on responses announce the close of their connection.
  void StartStopping() { mStopping = true; }
  bool IsStopping() const { return mStopping; }
  /// Connections with requests in flight or half read, or with responses that
  /// are still being sent.
  std::size_t BusyConnections() const;
  /// Requests that were not valid HTTP, and connections refused above the
  /// limit.
  std::uint64_t BadRequests() const { return mBadRequests; }
  std::uint64_t RefusedConnections() const { return mRefused; }
  /// Connections closed for new ones.
  std::uint64_t ReplacedConnections() const { return mReplaced; }
  /// Connections that could not be accepted, such as when the process has no
  /// file descriptor left.
  std::uint64_t AcceptErrors() const { return mAcceptErrors; }

  /// Requests in flight behind the first of their connections.
  std::size_t Pipelined() const { return mPipelined; }
  void OnPipelined(std::size_t aBefore, std::size_t aNow)
  {
    mPipelined = mPipelined - aBefore + aNow;
  }
  /// Calls Resume() of a connection that holds back requests.
  void ResumeLater(std::weak_ptr<ServerConnection> aConnection);
  /// Times that a connection held back requests that were sent ahead.
  std::uint64_t HeldBack() const { return mHeldBack; }

  /// Closes the connections of the listeners that ChooseForMemory() names, so
  /// that the budget is kept again.
  static void FreeMemory(core::TimePoint aNow,
                         BufferBudget& aBudget,
                         const std::vector<HttpListener*>& aListeners);
  void CloseFor(CloseReason aReason, ServerConnection& aConnection);
  /// A connection takes aNow instead of aBefore bytes of memory.
  void OnHeld(std::size_t aBefore, std::size_t aNow)
  {
    if (mSettings.mBudget != nullptr) {
      mSettings.mBudget->Change(aBefore, aNow);
    }
  }

  std::shared_ptr<RequestSink> Handle(const ServerExchangePtr& aExchange);
  void CountBadRequest() { ++mBadRequests; }
  void Remove(ServerConnection* aConnection);

private:
  HttpListener(boost::asio::io_context& aIo,
               HttpListenerSettings aSettings,
               std::function<core::TimePoint()> aNow,
               RequestHandler aHandler);
  core::Expected<bool> Open();
  void Accept();
  void RetryAccept();
  void ScheduleResume();
  void ResumeHeld();
  void AddConnection(boost::asio::ip::tcp::socket aSocket);
  /// Closes the connection that ChooseForRoom() names. Returns false if there
  /// is none.
  bool MakeRoom();

  HttpListenerSettings mSettings;
  const std::function<core::TimePoint()> mNow;
  const RequestHandler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptTimer;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
    mConnections;
  boost::asio::steady_timer mResumeTimer;
  std::vector<std::weak_ptr<ServerConnection>> mHeld;
  std::size_t mPipelined = 0;
  std::uint64_t mHeldBack = 0;
  std::uint64_t mBadRequests = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mReplaced = 0;
  std::uint64_t mAcceptErrors = 0;
  bool mStopping = false;
};

} // namespace nutmegrock::proxy
