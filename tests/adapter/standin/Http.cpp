#include "tests/adapter/standin/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace nutmegrock::tests::standin {

namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr double kIdleSeconds = 600;

sockaddr_in
ToSockaddr(const core::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
  return address;
}

void
SetNoDelay(int aFd)
{
  const int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string
InSmallLetters(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return aText;
}

void
ParseHead(const std::string& aText, Message& aMessage)
{
  std::size_t at = aText.find("\r\n");
  const std::string line = aText.substr(0, at);
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  aMessage.mFirst = line.substr(0, first);
  aMessage.mSecond = line.substr(first + 1, second - first - 1);
  while (at != std::string::npos) {
    const std::size_t next = aText.find("\r\n", at + 2);
    const std::string field = aText.substr(
      at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
    const std::size_t colon = field.find(':');
    if (colon != std::string::npos) {
      std::string value = field.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aMessage.mHeaders[InSmallLetters(field.substr(0, colon))] = value;
    }
    at = next;
  }
}

} // namespace

double
Now()
{
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point sStart = Clock::now();
  return std::chrono::duration<double>(Clock::now() - sStart).count();
}

void
SleepFor(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

int
Message::Status() const
{
  return std::atoi(mSecond.c_str());
}

std::string
Message::Header(const std::string& aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? "" : found->second;
}

Connection::Connection(int aFd)
  : mFd(aFd)
  , mOpenedAt(Now())
{
  SetNoDelay(mFd);
}

Connection::~Connection()
{
  close(mFd);
}

int
Connection::Open(const core::Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool
Connection::Send(const std::string& aText, double aSeconds)
{
  const double until = Now() + aSeconds;
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count = send(mFd,
                               aText.data() + sent,
                               aText.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (count == 0 || errno != EAGAIN || Now() >= until) {
      return false;
    }
    constexpr int kWaitMs = 20;
    pollfd entry{ mFd, POLLOUT, 0 };
    poll(&entry, 1, kWaitMs);
  }
  return true;
}

bool
Connection::IsGone() const
{
  char byte = 0;
  const ssize_t count = recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN);
}

ReadEnd
Connection::Fill(double aUntil)
{
  constexpr double kMsPerSecond = 1000;
  pollfd entry{ mFd, POLLIN, 0 };
  const double left = aUntil - Now();
  if (left <= 0 ||
      poll(&entry, 1, static_cast<int>(left * kMsPerSecond) + 1) <= 0) {
    return ReadEnd::Timeout;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t count = recv(mFd, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return count == 0 ? ReadEnd::Closed : ReadEnd::Cut;
  }
  mBuffer.append(bytes, 0, static_cast<std::size_t>(count));
  return ReadEnd::Complete;
}

ReadEnd
Connection::Take(std::size_t aSize, std::string& aOut, double aUntil)
{
  while (mBuffer.size() < aSize) {
    const ReadEnd end = Fill(aUntil);
    if (end != ReadEnd::Complete) {
      return end == ReadEnd::Closed ? ReadEnd::Cut : end;
    }
  }
  aOut.append(mBuffer, 0, aSize);
  mBuffer.erase(0, aSize);
  return ReadEnd::Complete;
}

ReadEnd
Connection::TakeLine(std::string& aLine, double aUntil)
{
  std::size_t end = 0;
  while ((end = mBuffer.find("\r\n")) == std::string::npos) {
    const ReadEnd got = Fill(aUntil);
    if (got != ReadEnd::Complete) {
      return got == ReadEnd::Closed ? ReadEnd::Cut : got;
    }
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return ReadEnd::Complete;
}

ReadEnd
Connection::ReadChunks(Message& aMessage, double aUntil)
{
  constexpr int kHexadecimal = 16;
  for (;;) {
    std::string line;
    ReadEnd end = TakeLine(line, aUntil);
    if (end != ReadEnd::Complete) {
      return end;
    }
    const std::size_t size = std::strtoull(line.c_str(), nullptr, kHexadecimal);
    end = Take(size, aMessage.mBody, aUntil);
    if (end == ReadEnd::Complete) {
      end = TakeLine(line, aUntil);
    }
    if (end != ReadEnd::Complete || size == 0) {
      return end;
    }
  }
}

ReadEnd
Connection::Read(Message& aMessage, double aUntil)
{
  constexpr int kDecimal = 10;
  aMessage = {};
  std::size_t end = 0;
  while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    const ReadEnd got = Fill(aUntil);
    if (got != ReadEnd::Complete) {
      return got == ReadEnd::Closed && !mBuffer.empty() ? ReadEnd::Cut : got;
    }
  }
  ParseHead(mBuffer.substr(0, end), aMessage);
  mBuffer.erase(0, end + 4);
  if (aMessage.Header("transfer-encoding") == "chunked") {
    return ReadChunks(aMessage, aUntil);
  }
  const std::string length = aMessage.Header("content-length");
  return Take(
    std::strtoull(length.c_str(), nullptr, kDecimal), aMessage.mBody, aUntil);
}

HttpServer::HttpServer(const core::Address& aAddress, Handler aHandler)
  : mHandler(std::move(aHandler))
  , mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  constexpr int kBacklog = 512;
  const int on = 1;
  setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (bind(mFd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(mFd, kBacklog) != 0) {
    close(mFd);
    throw std::runtime_error("cannot listen on " + aAddress.ToString());
  }
  mThreads = 1;
  std::thread([this] { Accept(); }).detach();
}

HttpServer::~HttpServer()
{
  std::unique_lock lock(mMutex);
  mStopping = true;
  shutdown(mFd, SHUT_RDWR);
  for (const int fd : mOpen) {
    shutdown(fd, SHUT_RDWR);
  }
  mIdle.wait(lock, [this] { return mThreads == 0; });
  close(mFd);
}

void
HttpServer::Accept()
{
  for (;;) {
    const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(mMutex);
    if (mStopping) {
      if (fd >= 0) {
        close(fd);
      }
      --mThreads;
      mIdle.notify_all();
      return;
    }
    if (fd >= 0) {
      mOpen.insert(fd);
      ++mThreads;
      std::thread([this, fd] { Run(fd); }).detach();
    }
  }
}

void
HttpServer::Run(int aFd)
{
  Connection connection(aFd);
  Message request;
  while (connection.Read(request, Now() + kIdleSeconds) == ReadEnd::Complete) {
    if (!mHandler(request, connection)) {
      break;
    }
  }
  shutdown(aFd, SHUT_RDWR);
  const std::lock_guard lock(mMutex);
  mOpen.erase(aFd);
  --mThreads;
  mIdle.notify_all();
}

std::string
ResponseText(int aStatus, const std::string& aLines, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n" + aLines +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

int
Ask(const core::Address& aAddress, const std::string& aText, double aSeconds)
{
  const int fd = Connection::Open(aAddress);
  if (fd < 0) {
    return 0;
  }
  Connection connection(fd);
  Message response;
  return connection.Send(aText, aSeconds) &&
             connection.Read(response, Now() + aSeconds) == ReadEnd::Complete
           ? response.Status()
           : 0;
}

} // namespace nutmegrock::tests::standin
