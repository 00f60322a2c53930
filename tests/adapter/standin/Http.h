#pragma once

#include "core/Address.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace nutmegrock::tests::standin {

/// Seconds on the steady clock since the first call.
double
Now();
void
SleepFor(double aSeconds);

struct Message
{
  /// Method and target of a request; protocol and status of a response.
  std::string mFirst;
  std::string mSecond;
  /// By name in small letters.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  int Status() const;
  std::string Header(const std::string& aName) const;
};

/// How reading a message ended.
enum class ReadEnd
{
  Complete,
  /// Closed before the first byte.
  Closed,
  /// Closed or reset in the middle.
  Cut,
  Timeout
};

/// A blocking HTTP/1.1 connection; closed on destruction.
class Connection
{
public:
  explicit Connection(int aFd);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// Returns -1 if the connection is refused.
  static int Open(const core::Address& aAddress);

  /// Returns false if the other end does not take the bytes in time.
  bool Send(const std::string& aText, double aSeconds = 5);
  ReadEnd Read(Message& aMessage, double aUntil);
  bool IsGone() const;
  int Fd() const { return mFd; }
  double OpenedAt() const { return mOpenedAt; }

private:
  ReadEnd Fill(double aUntil);
  ReadEnd Take(std::size_t aSize, std::string& aOut, double aUntil);
  ReadEnd TakeLine(std::string& aLine, double aUntil);
  ReadEnd ReadChunks(Message& aMessage, double aUntil);

  const int mFd;
  const double mOpenedAt;
  std::string mBuffer;
};

/// Accepts connections and serves each with a thread of its own.
class HttpServer
{
public:
  /// Returns false to close the connection.
  using Handler = std::function<bool(const Message&, Connection&)>;

  /// Throws std::runtime_error if the address cannot be used.
  HttpServer(const core::Address& aAddress, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /// Closes all connections and waits for their handlers.
  ~HttpServer();

private:
  void Accept();
  void Run(int aFd);

  const Handler mHandler;
  int mFd;
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::set<int> mOpen;
  int mThreads = 0;
  bool mStopping = false;
};

std::string
ResponseText(int aStatus, const std::string& aLines, const std::string& aBody);

/// Sends one request on a new connection. Returns the status, or 0 without a
/// response in time.
int
Ask(const core::Address& aAddress, const std::string& aText, double aSeconds);

} // namespace nutmegrock::tests::standin
