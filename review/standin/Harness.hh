// Stand-ins for the review's cases: the platform's store, backend servers and
// clients, as the users' pages describe them, and a deployment of nodes. Uses
// only the standard library and POSIX sockets; blocking, one thread for each
// connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point kStart = Clock::now();

inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
SleepUntil(double aSeconds)
{
  while (Now() < aSeconds) {
    std::this_thread::sleep_for(1ms);
  }
}

/// Writes lines with the time in seconds to record.txt.
class Record
{
public:
  static void Open(const std::string& aPath)
  {
    File() = std::fopen(aPath.c_str(), "w");
    if (File() == nullptr) {
      std::perror(aPath.c_str());
      std::_Exit(2);
    }
  }
  static void Line(const char* aFormat, ...)
    __attribute__((format(printf, 1, 2)))
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    const std::lock_guard lock(Mutex());
    std::fprintf(File(), "%8.3f %s\n", Now(), text);
    std::fflush(File());
  }

private:
  static FILE*& File()
  {
    static FILE* sFile = nullptr;
    return sFile;
  }
  static std::mutex& Mutex()
  {
    static std::mutex sMutex;
    return sMutex;
  }
};

inline std::vector<pid_t>&
Children()
{
  static std::vector<pid_t> sChildren;
  return sChildren;
}

/// Folder for settings and logs of nodes; removed at the end.
inline std::string&
TemporaryFolder()
{
  static std::string sFolder;
  return sFolder;
}

/// Ends all processes that were started, then this one.
[[noreturn]] inline void
Finish(int aCode)
{
  for (const pid_t child : Children()) {
    if (child > 0) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
  }
  if (!TemporaryFolder().empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  }
  Record::Line("exit code %d", aCode);
  std::fflush(nullptr);
  std::_Exit(aCode);
}

[[noreturn]] inline void
CannotRun(const std::string& aWhy)
{
  Record::Line("cannot run: %s", aWhy.c_str());
  std::fprintf(stderr, "cannot run: %s\n", aWhy.c_str());
  Finish(2);
}

// ---------------------------------------------------------------- sockets

struct Endpoint
{
  std::string mIp;
  int mPort = 0;
  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

inline sockaddr_in
ToSockaddr(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aEndpoint.mPort));
  inet_pton(AF_INET, aEndpoint.mIp.c_str(), &address.sin_addr);
  return address;
}

inline int
ListenOn(const Endpoint& aEndpoint)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(aEndpoint);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(fd, 512) != 0) {
    CannotRun("listen on " + aEndpoint.Text() + ": " + std::strerror(errno));
  }
  return fd;
}

/// Returns -1 if the connection is refused. aReceiveBuffer of 0: the default.
inline int
ConnectTo(const Endpoint& aEndpoint, int aReceiveBuffer = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (aReceiveBuffer > 0) {
    setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  const sockaddr_in address = ToSockaddr(aEndpoint);
  if (connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aFd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// ------------------------------------------------------------------- HTTP

struct Message
{
  /// Method or "HTTP/1.1"; target or status.
  std::string mFirst;
  std::string mSecond;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  int Status() const { return std::atoi(mSecond.c_str()); }
  std::string Header(const std::string& aLowerName) const
  {
    const auto found = mHeaders.find(aLowerName);
    return found == mHeaders.end() ? "" : found->second;
  }
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

class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  /// Called before each read from the socket, for readers that are slow.
  std::function<void()> mBeforeRead;
  std::size_t mReadBytes = 65536;

  ReadEnd Read(Message& aMessage, double aUntil)
  {
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
    const std::string length = aMessage.Header("content-length");
    if (aMessage.Header("transfer-encoding") == "chunked") {
      return ReadChunks(aMessage, aUntil);
    }
    const std::size_t size =
      length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    return Take(size, aMessage.mBody, aUntil);
  }

private:
  static void ParseHead(const std::string& aText, Message& aMessage)
  {
    std::size_t at = aText.find("\r\n");
    const std::string line = aText.substr(0, at);
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    aMessage.mFirst = line.substr(0, first);
    aMessage.mSecond = line.substr(first + 1, second - first - 1);
    while (at != std::string::npos) {
      const std::size_t next = aText.find("\r\n", at + 2);
      const std::string field =
        aText.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = field.find(':');
      if (colon != std::string::npos) {
        std::string name = field.substr(0, colon);
        for (char& letter : name) {
          letter = static_cast<char>(std::tolower(letter));
        }
        std::string value = field.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        aMessage.mHeaders[name] = value;
      }
      at = next;
    }
  }

  ReadEnd Fill(double aUntil)
  {
    if (mBeforeRead) {
      mBeforeRead();
    }
    pollfd entry{ mFd, POLLIN, 0 };
    const double left = aUntil - Now();
    const int ready = left <= 0 ? 0 : poll(&entry, 1, int(left * 1000) + 1);
    if (ready <= 0) {
      return ReadEnd::Timeout;
    }
    std::string bytes(mReadBytes, '\0');
    const ssize_t count = recv(mFd, bytes.data(), bytes.size(), 0);
    if (count == 0) {
      return ReadEnd::Closed;
    }
    if (count < 0) {
      return ReadEnd::Cut;
    }
    mBuffer.append(bytes, 0, static_cast<std::size_t>(count));
    return ReadEnd::Complete;
  }

  ReadEnd Take(std::size_t aSize, std::string& aOut, double aUntil)
  {
    while (mBuffer.size() < aSize) {
      const ReadEnd got = Fill(aUntil);
      if (got != ReadEnd::Complete) {
        return got == ReadEnd::Closed ? ReadEnd::Cut : got;
      }
    }
    aOut += mBuffer.substr(0, aSize);
    mBuffer.erase(0, aSize);
    return ReadEnd::Complete;
  }

  ReadEnd ReadChunks(Message& aMessage, double aUntil)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        const ReadEnd got = Fill(aUntil);
        if (got != ReadEnd::Complete) {
          return got == ReadEnd::Closed ? ReadEnd::Cut : got;
        }
      }
      const std::size_t size =
        std::strtoull(mBuffer.substr(0, end).c_str(), nullptr, 16);
      mBuffer.erase(0, end + 2);
      std::string ignored;
      ReadEnd got = Take(size, aMessage.mBody, aUntil);
      if (got == ReadEnd::Complete) {
        got = Take(2, ignored, aUntil);
      }
      if (got != ReadEnd::Complete || size == 0) {
        return got;
      }
    }
  }

  const int mFd;
  std::string mBuffer;
};

inline const char*
NameOf(ReadEnd aEnd)
{
  switch (aEnd) {
    case ReadEnd::Complete:
      return "complete";
    case ReadEnd::Closed:
      return "closed without an answer";
    case ReadEnd::Cut:
      return "cut off";
    case ReadEnd::Timeout:
      break;
  }
  return "no answer in time";
}

inline std::string
Response(int aStatus, const std::string& aLines, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n" + aLines +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Accepts connections and serves each in a thread of its own.
inline void
Serve(const Endpoint& aEndpoint, std::function<void(int)> aHandler)
{
  const int fd = ListenOn(aEndpoint);
  std::thread([fd, handler = std::move(aHandler)] {
    for (;;) {
      const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([handler, connection] {
        handler(connection);
        close(connection);
      }).detach();
    }
  }).detach();
}

/// Sends one request on a new connection; the status, or 0 without an answer.
inline int
Ask(const Endpoint& aEndpoint, const std::string& aText, double aSeconds = 1)
{
  const int fd = ConnectTo(aEndpoint);
  if (fd < 0) {
    return 0;
  }
  Message answer;
  Reader reader(fd);
  const bool complete =
    SendAll(fd, aText) &&
    reader.Read(answer, Now() + aSeconds) == ReadEnd::Complete;
  close(fd);
  return complete ? answer.Status() : 0;
}

// ------------------------------------------------------------------ store

inline std::string
Base64(const std::string& aBytes)
{
  static const char* kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8U |
             (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j > aBytes.size() ? '=' : kLetters[bits >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

/// The platform's store, as far as nodes use it: rows-get, rows-feed and
/// rows-tx on tables without parts. No history is dropped.
class Store
{
public:
  explicit Store(const Endpoint& aEndpoint)
  {
    Serve(aEndpoint, [this](int aFd) { Connection(aFd); });
  }

  /// What the operator does; acknowledged when it returns.
  void PutConfig(const std::string& aDocument)
  {
    const std::lock_guard lock(mMutex);
    Put("op", "config", Base64(aDocument));
  }

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVer = 0;
    bool mDeleted = false;
  };

  void Put(const std::string& aTable,
           const std::string& aKey,
           std::string aValue)
  {
    mTables[aTable][aKey] = { std::move(aValue), ++mVer, false };
    mChanged.notify_all();
  }

  std::string Tail() const
  {
    return "\"ver\":" + std::to_string(mVer) +
           ",\"nowMs\":" + std::to_string(int(Now() * 1000));
  }

  static std::string Text(const std::string& aTable,
                          const std::string& aKey,
                          const Row& aRow)
  {
    return R"({"table":")" + aTable + R"(","part":"","key":")" + aKey + "\"" +
           (aRow.mDeleted ? std::string(",\"deleted\":true")
                          : ",\"value\":\"" + aRow.mValue + "\"") +
           ",\"ver\":" + std::to_string(aRow.mVer) + "}";
  }

  static std::string Decode(const std::string& aText)
  {
    std::string text;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%') {
        text += static_cast<char>(
          std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t next = aTarget.find('&', at + 1);
      const std::string part = aTarget.substr(
        at + 1, next == std::string::npos ? next : next - at - 1);
      if (part.rfind(aName + "=", 0) == 0) {
        return Decode(part.substr(aName.size() + 1));
      }
      at = next;
    }
    return "";
  }

  void Connection(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, Now() + 600) == ReadEnd::Complete) {
      std::this_thread::sleep_for(4ms);
      std::string body;
      const int status = Handle(request, body);
      if (!SendAll(
            aFd,
            Response(status, "Content-Type: application/json\r\n", body))) {
        return;
      }
    }
  }

  int Handle(const Message& aRequest, std::string& aBody)
  {
    const std::string& target = aRequest.mSecond;
    if (target.rfind("/rows-get?", 0) == 0) {
      return Get(target, aBody);
    }
    if (target.rfind("/rows-feed?", 0) == 0) {
      return Feed(target, aBody);
    }
    if (target == "/rows-tx") {
      return Change(aRequest.mBody, aBody);
    }
    aBody = "{}";
    return 404;
  }

  int Get(const std::string& aTarget, std::string& aBody)
  {
    const std::string table = Query(aTarget, "table");
    const std::string from = Query(aTarget, "from");
    const std::string to = Query(aTarget, "target");
    const std::string limit = Query(aTarget, "limit");
    std::size_t left =
      limit.empty() ? 500 : std::strtoull(limit.c_str(), nullptr, 10);
    const std::lock_guard lock(mMutex);
    aBody = "{\"rows\":[";
    bool more = false;
    bool first = true;
    for (const auto& [key, row] : mTables[table]) {
      if (row.mDeleted || key < from || (!to.empty() && key >= to)) {
        continue;
      }
      if (left == 0) {
        more = true;
        break;
      }
      --left;
      aBody += (first ? "" : ",") + Text(table, key, row);
      first = false;
    }
    aBody += std::string("],\"hasMore\":") + (more ? "true," : "false,") +
             Tail() + "}";
    return 200;
  }

  int Feed(const std::string& aTarget, std::string& aBody)
  {
    const std::string table = Query(aTarget, "table");
    const std::uint64_t after =
      std::strtoull(Query(aTarget, "after").c_str(), nullptr, 10);
    const auto until =
      Clock::now() +
      std::chrono::milliseconds(std::atoi(Query(aTarget, "waitMs").c_str()));
    std::unique_lock lock(mMutex);
    for (;;) {
      std::map<std::uint64_t, std::string> changed;
      for (const auto& [key, row] : mTables[table]) {
        if (row.mVer > after) {
          changed[row.mVer] = Text(table, key, row);
        }
      }
      if (!changed.empty() ||
          mChanged.wait_until(lock, until) == std::cv_status::timeout) {
        aBody = "{\"rows\":[";
        bool first = true;
        for (const auto& [ver, text] : changed) {
          aBody += (first ? "" : ",") + text;
          first = false;
        }
        aBody += "]," + Tail() + "}";
        return 200;
      }
    }
  }

  /// The value of a text field in the flat JSON object that begins at aAt.
  static std::string Field(const std::string& aJson, const std::string& aName)
  {
    const std::string mark = "\"" + aName + "\":";
    std::size_t at = aJson.find(mark);
    if (at == std::string::npos) {
      return "";
    }
    at += mark.size();
    if (aJson[at] != '"') {
      return aJson.substr(at, aJson.find_first_of(",}", at) - at);
    }
    std::string text;
    for (++at; at < aJson.size() && aJson[at] != '"'; ++at) {
      if (aJson[at] == '\\') {
        ++at;
      }
      text += aJson[at];
    }
    return text;
  }

  static std::vector<std::string> List(const std::string& aJson,
                                       const std::string& aName)
  {
    std::vector<std::string> entries;
    const std::string mark = "\"" + aName + "\":[";
    std::size_t at = aJson.find(mark);
    if (at == std::string::npos) {
      return entries;
    }
    at += mark.size();
    while (at < aJson.size() && aJson[at] != ']') {
      const std::size_t end = aJson.find('}', at);
      entries.push_back(aJson.substr(at, end - at + 1));
      at = end + 1;
      at += aJson[at] == ',' ? 1 : 0;
    }
    return entries;
  }

  int Change(const std::string& aJson, std::string& aBody)
  {
    const std::lock_guard lock(mMutex);
    for (const std::string& entry : List(aJson, "expectedRev")) {
      const std::string table = Field(entry, "table");
      const std::string key = Field(entry, "key");
      const auto found = mTables[table].find(key);
      const std::uint64_t ver =
        found == mTables[table].end() || found->second.mDeleted
          ? 0
          : found->second.mVer;
      if (ver != std::strtoull(Field(entry, "ver").c_str(), nullptr, 10)) {
        aBody = "{\"rows\":[" +
                (ver == 0 ? std::string() : Text(table, key, found->second)) +
                "]," + Tail() + "}";
        return 412;
      }
    }
    for (const std::string& entry : List(aJson, "puts")) {
      Put(Field(entry, "table"), Field(entry, "key"), Field(entry, "value"));
    }
    for (const std::string& entry : List(aJson, "remove")) {
      auto& rows = mTables[Field(entry, "table")];
      const auto found = rows.find(Field(entry, "key"));
      if (found != rows.end()) {
        found->second = { "", ++mVer, true };
      }
    }
    mChanged.notify_all();
    aBody = "{" + Tail() + "}";
    return 200;
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Row>> mTables;
  std::uint64_t mVer = 0;
};

// ---------------------------------------------------------------- backend

/// What a backend server does with a request, by its path and headers.
struct Job
{
  double mWorkMs = 20;
  std::size_t mAnswerBytes = 1500;
};

/// A sound backend server. Queues what exceeds its slots, and drops a request
/// whose connection closes.
class Backend
{
public:
  struct Settings
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    Endpoint mAddress;
    Endpoint mControl;
    int mSlots = 16;
    int mHeartbeatMs = 1500;
    std::int64_t mBorn = 0;
  };

  explicit Backend(Settings aSettings)
    : mSettings(std::move(aSettings))
  {
    Serve(mSettings.mAddress, [this](int aFd) { Connection(aFd); });
    std::thread([this] { Beat(); }).detach();
  }

  std::function<Job(const Message&)> mJob = [](const Message&) {
    return Job{};
  };
  std::atomic<bool> mBeats{ true };
  std::atomic<bool> mLeaving{ false };

  const Settings& SettingsOf() const { return mSettings; }

  std::string HeartbeatText(std::uint64_t aSequence,
                            const std::string& aState = "ready") const
  {
    const std::string body =
      R"({"service":")" + mSettings.mService + R"(","address":")" +
      mSettings.mAddress.Text() + R"(","zone":")" + mSettings.mZone +
      R"(","version":"v1","slots":)" + std::to_string(mSettings.mSlots) +
      R"(,"state":")" + aState + R"(","coldRemainingMs":0,"sequence":)" +
      std::to_string(aSequence) + R"(,"born":)" +
      std::to_string(mSettings.mBorn) + "}";
    return Post("instances.heartbeat", body);
  }

  std::string LeaveText() const
  {
    return Post("instances.deregister",
                R"({"born":)" + std::to_string(mSettings.mBorn) + "}");
  }

  std::uint64_t NextSequence() { return ++mSequence; }

  struct Run
  {
    std::string mRequestId;
    std::string mTarget;
    double mAt = 0;
    double mEnd = 0;
    bool mDone = false;
  };
  std::vector<Run> Runs()
  {
    const std::lock_guard lock(mMutex);
    return mRuns;
  }

private:
  std::string Post(const std::string& aCall, const std::string& aBody) const
  {
    return "POST /rpc?call=" + aCall + "&of=" + mSettings.mId +
           " HTTP/1.1\r\nHost: " + mSettings.mControl.Text() +
           "\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  void Beat()
  {
    for (;;) {
      if (mBeats) {
        Ask(mSettings.mControl, HeartbeatText(NextSequence()));
      }
      std::this_thread::sleep_for(
        std::chrono::milliseconds(mSettings.mHeartbeatMs));
    }
  }

  std::string Lines(const Message& aRequest)
  {
    std::string lines = "Nutmegrock-Server-Load: " + std::to_string(mRunning) +
                        "," + std::to_string(mWaiting) + "," +
                        std::to_string(mSettings.mSlots) +
                        "\r\nNutmegrock-Instance-Id: " + mSettings.mId + "\r\n";
    const std::string id = aRequest.Header("nutmegrock-request-id");
    if (!id.empty()) {
      lines += "Nutmegrock-Request-Id: " + id + "\r\n";
    }
    return lines;
  }

  static bool IsGone(int aFd)
  {
    char byte = 0;
    const ssize_t count = recv(aFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  void Connection(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, Now() + 10) == ReadEnd::Complete) {
      if (!Answer(aFd, request)) {
        return;
      }
    }
  }

  bool Answer(int aFd, const Message& aRequest)
  {
    if (aRequest.mSecond == "/health") {
      return SendAll(aFd, Response(mLeaving ? 503 : 200, Lines(aRequest), ""));
    }
    const std::string id = aRequest.Header("nutmegrock-request-id");
    const std::string expected =
      aRequest.Header("nutmegrock-expected-instance");
    const std::string not_run = "Nutmegrock-Not-Executed: 1\r\n";
    if (id.empty()) {
      return SendAll(aFd, Response(400, Lines(aRequest) + not_run, ""));
    }
    if (!expected.empty() && expected != mSettings.mId) {
      Record::Line("backend %s refuses %s, expected %s",
                   mSettings.mId.c_str(),
                   id.c_str(),
                   expected.c_str());
      return SendAll(aFd, Response(421, Lines(aRequest) + not_run, ""));
    }
    Record::Line("backend %s receives %s", mSettings.mId.c_str(), id.c_str());
    ++mWaiting;
    bool gone = false;
    {
      std::unique_lock lock(mMutex);
      while (mRunning >= mSettings.mSlots && !gone) {
        mFree.wait_for(lock, 20ms);
        gone = IsGone(aFd);
      }
      --mWaiting;
      if (gone) {
        return false;
      }
      ++mRunning;
    }
    const Job job = mJob(aRequest);
    std::size_t index = 0;
    {
      const std::lock_guard lock(mMutex);
      index = mRuns.size();
      mRuns.push_back({ id, aRequest.mSecond, Now(), 0, false });
    }
    Record::Line("backend %s runs %s %s %s body %zu",
                 mSettings.mId.c_str(),
                 id.c_str(),
                 aRequest.mFirst.c_str(),
                 aRequest.mSecond.c_str(),
                 aRequest.mBody.size());
    const double end = Now() + job.mWorkMs / 1000;
    while (Now() < end && !gone) {
      std::this_thread::sleep_for(2ms);
      gone = IsGone(aFd);
    }
    {
      const std::lock_guard lock(mMutex);
      --mRunning;
      mRuns[index].mEnd = Now();
      mRuns[index].mDone = !gone;
    }
    mFree.notify_all();
    if (gone) {
      Record::Line("backend %s drops %s, its connection is closed",
                   mSettings.mId.c_str(),
                   id.c_str());
      return false;
    }
    const std::string lines =
      Lines(aRequest) + "Nutmegrock-Server-Seal: seal." + id + "\r\n";
    const bool sent =
      SendAll(aFd, Response(200, lines, std::string(job.mAnswerBytes, 'x')));
    Record::Line("backend %s has run %s, answer %s",
                 mSettings.mId.c_str(),
                 id.c_str(),
                 sent ? "sent" : "not taken");
    return sent;
  }

  const Settings mSettings;
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::mutex mMutex;
  std::condition_variable mFree;
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mWaiting{ 0 };
  std::vector<Run> mRuns;
};

// ------------------------------------------------------------- deployment

/// Addresses of one machine; a loopback address of its own, and ports that are
/// the same on all machines.
struct Machine
{
  std::string mIp;
  std::string mService;
  std::string mZone;
  int mBasePort = 0;
  std::string mStore;

  Endpoint Inbound() const { return { mIp, mBasePort }; }
  Endpoint App() const { return { mIp, mBasePort + 1 }; }
  Endpoint Ready() const { return { mIp, mBasePort + 2 }; }
  Endpoint Outbound() const { return { mIp, mBasePort + 4 }; }
  Endpoint Control() const { return { mIp, mBasePort + 6 }; }
  Endpoint Peer() const { return { mIp, mBasePort + 20 }; }
};

/// A node of the project: target/nutmegrock gateway --settings FILE, with the
/// settings as deploy/node.yaml.template gives them.
class Node
{
public:
  Node(Machine aMachine, const std::string& aFolder)
    : mMachine(std::move(aMachine))
    , mSettings(aFolder + "/node-" + mMachine.mIp + ".yaml")
    , mLog(aFolder + "/node-" + mMachine.mIp + ".log")
  {
    FILE* file = std::fopen(mSettings.c_str(), "w");
    std::fprintf(file,
                 "node:\n  service: \"%s\"\n  region: \"khomas\"\n"
                 "  availability_zone: \"%s\"\n  backend_server: \"%s\"\n"
                 "listen:\n  caller: \"%s\"\n  nodes: \"%s\"\n  ready: \"%s\"\n"
                 "  notices: \"%s\"\n  peer: \"%s\"\n  metrics: \"%s:9464\"\n"
                 "store: \"http://%s\"\nbounds:\n  drain_ms: 2000\n"
                 "  stop_s: 6\n  retry_ratio: 0.2\n  retry_extra: 49\n"
                 "  retry_window_s: 10\n",
                 mMachine.mService.c_str(),
                 mMachine.mZone.c_str(),
                 mMachine.App().Text().c_str(),
                 mMachine.Outbound().Text().c_str(),
                 mMachine.Inbound().Text().c_str(),
                 mMachine.Ready().Text().c_str(),
                 mMachine.Control().Text().c_str(),
                 mMachine.Peer().Text().c_str(),
                 mMachine.mIp.c_str(),
                 mMachine.mStore.c_str());
    std::fclose(file);
  }

  void Start()
  {
    Record::Line("node %s starts", mMachine.mIp.c_str());
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("NUTMEGROCK_BOOT", mSettings.c_str(), 1);
      execl("target/nutmegrock",
            "target/nutmegrock",
            "gateway",
            "--settings",
            mSettings.c_str(),
            nullptr);
      std::_Exit(127);
    }
    Children().push_back(mPid);
  }

  void Signal(int aSignal)
  {
    Record::Line("node %s gets signal %d", mMachine.mIp.c_str(), aSignal);
    kill(mPid, aSignal);
  }

  /// Returns true if the process has ended; says how.
  bool HasEnded()
  {
    int status = 0;
    if (mPid <= 0 || waitpid(mPid, &status, WNOHANG) != mPid) {
      return mPid <= 0;
    }
    for (pid_t& child : Children()) {
      child = child == mPid ? 0 : child;
    }
    mPid = 0;
    mStatus = status;
    if (WIFSIGNALED(status)) {
      Record::Line("node %s has ended by signal %d",
                   mMachine.mIp.c_str(),
                   WTERMSIG(status));
    } else {
      Record::Line("node %s has ended with exit code %d",
                   mMachine.mIp.c_str(),
                   WEXITSTATUS(status));
    }
    return true;
  }
  int EndStatus() const { return mStatus; }

  bool IsReady() const
  {
    return Ask(mMachine.Ready(),
               "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n",
               0.5) == 200;
  }

  const Machine& MachineOf() const { return mMachine; }

private:
  const Machine mMachine;
  const std::string mSettings;
  const std::string mLog;
  pid_t mPid = 0;
  int mStatus = 0;
};

/// Loopback addresses and ports that are free, and a temporary folder.
class Ground
{
public:
  Ground()
  {
    std::srand(static_cast<unsigned>(getpid()));
    const char* tmp = std::getenv("TMPDIR");
    std::string pattern =
      std::string(tmp == nullptr ? "/tmp" : tmp) + "/review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
      CannotRun("no temporary folder");
    }
    mFolder = pattern;
    TemporaryFolder() = pattern;
    mNet = "127." + std::to_string(10 + getpid() / 250 % 200) + "." +
           std::to_string(1 + getpid() % 250) + ".";
    // Below the range of ephemeral ports.
    mPort = 20000 + std::rand() % 400 * 25;
  }

  const std::string& Folder() const { return mFolder; }
  Endpoint StoreAddress() const { return { mNet + "250", mPort + 9 }; }
  Endpoint ProxyAddress() const { return { mNet + "251", mPort + 9 }; }

  Machine NewMachine(const std::string& aService,
                     const std::string& aZone,
                     const std::string& aStore = "")
  {
    return { mNet + std::to_string(++mCount),
             aService,
             aZone,
             mPort,
             aStore.empty() ? StoreAddress().Text() : aStore };
  }

private:
  std::string mFolder;
  std::string mNet;
  int mPort = 0;
  int mCount = 0;
};

struct RouteText
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  std::string mKind;
  std::string mService;
  int mTimeoutMs = 5000;
  int mTargetMs = 1200;
};

inline std::string
ConfigText(int aVersion,
           const std::vector<std::string>& aServices,
           const std::vector<RouteText>& aRoutes)
{
  std::string text =
    "{\"version\":\"r" + std::to_string(aVersion) + "\",\"services\":[";
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    text +=
      std::string(i == 0 ? "" : ",") + R"({"name":")" + aServices[i] +
      R"(","healthPath":"/health","maxConnections":600,"protocol":"h1","tls":false})";
  }
  text += R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
          R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"hosts":[)";
  for (std::size_t i = 0; i < aRoutes.size(); ++i) {
    const RouteText& route = aRoutes[i];
    text += std::string(i == 0 ? "" : ",") + R"({"host":")" + route.mHost +
            R"(","paths":[{"name":")" + route.mName + R"(","pathPrefix":")" +
            route.mPrefix + R"(","kind":")" + route.mKind +
            R"(","timeoutMs":)" + std::to_string(route.mTimeoutMs) +
            R"(,"targetLatencyMs":)" + std::to_string(route.mTargetMs) +
            R"(,"priority":1,"service":")" + route.mService +
            R"(","maxAttempts":2}]})";
  }
  return text + "]}";
}

/// Waits until all nodes are ready and requests of the given text are answered
/// with 200 a few times in a row.
inline void
WaitForService(std::vector<std::unique_ptr<Node>>& aNodes,
               const std::function<std::string(const std::string&)>& aRequest)
{
  const double until = Now() + 20;
  int good = 0;
  int number = 0;
  while (good < 8) {
    if (Now() > until) {
      CannotRun("the deployment does not serve");
    }
    bool all = true;
    for (const auto& node : aNodes) {
      if (node->HasEnded()) {
        CannotRun("a node ended at the start");
      }
      all = all && node->IsReady() &&
            Ask(node->MachineOf().Outbound(),
                aRequest("warm-" + std::to_string(++number)),
                2) == 200;
    }
    good = all ? good + 1 : 0;
    std::this_thread::sleep_for(50ms);
  }
  Record::Line("the deployment serves");
}

/// A deployment: the store, machines with their nodes and backend servers, and
/// the routes of the first config.
struct Deployment
{
  Ground mGround;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::vector<std::unique_ptr<Backend>> mBackends;

  Deployment() { mStore = std::make_unique<Store>(mGround.StoreAddress()); }

  /// Starts a machine; returns its index.
  std::size_t Add(const std::string& aService,
                  const std::string& aZone,
                  int aSlots = 32,
                  const std::string& aStore = "")
  {
    const Machine machine = mGround.NewMachine(aService, aZone, aStore);
    mNodes.push_back(std::make_unique<Node>(machine, mGround.Folder()));
    mNodes.back()->Start();
    Backend::Settings settings;
    settings.mId = "i-" + aService + "-" + std::to_string(mNodes.size());
    settings.mService = aService;
    settings.mZone = aZone;
    settings.mAddress = machine.App();
    settings.mControl = machine.Control();
    settings.mSlots = aSlots;
    settings.mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    mBackends.push_back(std::make_unique<Backend>(settings));
    return mNodes.size() - 1;
  }

  Endpoint Outbound(std::size_t aIndex) const
  {
    return mNodes[aIndex]->MachineOf().Outbound();
  }
};

/// The text of a request with the headers that clients send.
inline std::string
RequestText(const std::string& aMethod,
            const std::string& aHost,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody = "",
            const std::string& aLines = "")
{
  std::string text =
    aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
    "\r\nNutmegrock-Request-Id: " + aId +
    "\r\nNutmegrock-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" +
    aLines;
  if (aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// TROUBLE=0: without the disruption.
inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

} // namespace review
