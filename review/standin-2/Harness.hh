// What the scripts of this review share: a store, backend servers and clients
// as the users' pages describe them, and the project's nodes as processes.
// Only loopback addresses are used.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

/// Seconds since the start of the script.
inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

inline std::int64_t
TimeOfDayMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// record.txt: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
  {
  }
  void Line(const char* aFormat, ...)
  {
    char text[1024];
    va_list list;
    va_start(list, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, list);
    va_end(list);
    const std::lock_guard lock(mMutex);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%8.3f %s\n", Now(), text);
      std::fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

inline Record* gRecord = nullptr;

inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
  return aText;
}

struct Message
{
  std::string mFirst;
  std::string mSecond;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }
  int Status() const { return std::atoi(mSecond.c_str()); }
};

enum class End
{
  Complete,
  /// Closed before the first byte.
  Closed,
  /// Closed or reset in the middle.
  Cut,
  Timeout
};

inline const char*
NameOf(End aEnd)
{
  switch (aEnd) {
    case End::Complete:
      return "complete";
    case End::Closed:
      return "closed without a byte";
    case End::Cut:
      return "cut in the middle";
    case End::Timeout:
      break;
  }
  return "timeout";
}

/// A blocking connection.
class Conn
{
public:
  explicit Conn(int aFd = -1)
    : mFd(aFd)
  {
  }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  ~Conn() { Close(); }

  void Close()
  {
    const int fd = mFd.exchange(-1);
    if (fd >= 0) {
      close(fd);
    }
  }
  /// aReceive is the size of the receive buffer; 0 leaves the default.
  bool Open(const std::string& aIp, int aPort, int aReceive = 0)
  {
    Close();
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceive > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceive, sizeof aReceive);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
      close(fd);
      return false;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    mFd = fd;
    mBuffer.clear();
    return true;
  }
  bool Send(const std::string& aText)
  {
    std::size_t sent = 0;
    while (sent < aText.size()) {
      const ssize_t n =
        send(mFd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Reads at most aMost bytes into the buffer. aUntil as in Now().
  End Fill(double aUntil, std::size_t aMost = 65536)
  {
    pollfd state{ mFd, POLLIN, 0 };
    const int wait = static_cast<int>(std::max(0.0, (aUntil - Now()) * 1000));
    if (poll(&state, 1, wait) <= 0) {
      return End::Timeout;
    }
    std::vector<char> bytes(aMost);
    const ssize_t n = recv(mFd, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      return End::Cut;
    }
    mBuffer.append(bytes.data(), static_cast<std::size_t>(n));
    return End::Complete;
  }
  /// Reads one message. aHook runs before each read of more bytes.
  End Read(Message& aMessage,
           double aUntil,
           const std::function<void()>& aHook = {},
           std::size_t aMost = 65536)
  {
    aMessage = {};
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (aHook) {
        aHook();
      }
      const End filled = Fill(aUntil, aMost);
      if (filled != End::Complete) {
        return filled == End::Cut && mBuffer.empty() ? End::Closed : filled;
      }
    }
    std::string head = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string line = head.substr(0, at);
    const auto space = line.find(' ');
    aMessage.mFirst = line.substr(0, space);
    if (space != std::string::npos) {
      aMessage.mSecond =
        line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    }
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string field =
        head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const auto colon = field.find(':');
      if (colon != std::string::npos) {
        std::string value = field.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        aMessage.mHeaders[Lower(field.substr(0, colon))] = value;
      }
      at = next;
    }
    if (Lower(aMessage.Header("transfer-encoding")) == "chunked") {
      return ReadChunks(aMessage, aUntil, aHook, aMost);
    }
    const std::size_t length =
      std::strtoull(aMessage.Header("content-length").c_str(), nullptr, 10);
    while (mBuffer.size() < length) {
      if (aHook) {
        aHook();
      }
      const End filled = Fill(aUntil, aMost);
      if (filled != End::Complete) {
        aMessage.mBody = mBuffer;
        return filled;
      }
    }
    aMessage.mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return End::Complete;
  }
  bool IsGone() const
  {
    pollfd state{ mFd, POLLRDHUP, 0 };
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  int Fd() const { return mFd; }

private:
  End ReadChunks(Message& aMessage,
                 double aUntil,
                 const std::function<void()>& aHook,
                 std::size_t aMost)
  {
    for (;;) {
      std::size_t line = 0;
      while ((line = mBuffer.find("\r\n")) == std::string::npos) {
        if (aHook) {
          aHook();
        }
        const End filled = Fill(aUntil, aMost);
        if (filled != End::Complete) {
          return filled;
        }
      }
      const std::size_t size =
        std::strtoull(mBuffer.substr(0, line).c_str(), nullptr, 16);
      while (mBuffer.size() < line + 2 + size + 2) {
        if (aHook) {
          aHook();
        }
        const End filled = Fill(aUntil, aMost);
        if (filled != End::Complete) {
          return filled;
        }
      }
      aMessage.mBody += mBuffer.substr(line + 2, size);
      mBuffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return End::Complete;
      }
    }
  }

  std::atomic<int> mFd;
  std::string mBuffer;
};

/// Accepts connections and serves each with a thread of its own.
class HttpServer
{
public:
  /// Returns false to close the connection.
  using Handler = std::function<bool(const Message&, Conn&)>;

  HttpServer(const std::string& aIp, int aPort, Handler aHandler)
    : mHandler(std::move(aHandler))
    , mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int one = 1;
    setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    mGood =
      bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
      listen(mFd, 512) == 0;
    if (mGood) {
      std::thread([this] { Accept(); }).detach();
    }
  }
  bool IsGood() const { return mGood; }

private:
  void Accept()
  {
    for (;;) {
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        Sleep(0.01);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] {
        Conn connection(fd);
        Message request;
        while (connection.Read(request, Now() + 1000) == End::Complete &&
               mHandler(request, connection)) {
        }
      }).detach();
    }
  }

  const Handler mHandler;
  const int mFd;
  bool mGood = false;
};

inline std::string
Response(int aStatus, const std::string& aLines, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aLines +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
Base64(const std::string& aBytes)
{
  return utility::conversions::to_base64(
    std::vector<unsigned char>(aBytes.begin(), aBytes.end()));
}

/// The platform's metadata store: rows, transactions and the feed.
class Store
{
public:
  Store(const std::string& aIp, int aPort)
    : mServer(aIp, aPort, [this](const Message& aRequest, Conn& aConnection) {
      return Answer(aRequest, aConnection);
    })
  {
  }
  bool IsGood() const { return mServer.IsGood(); }
  void Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aBytes)
  {
    const std::lock_guard lock(mMutex);
    mTables[aTable][aKey] = { Base64(aBytes), ++mVer, false };
    mChanged.notify_all();
  }

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVer = 0;
    bool mDeleted = false;
  };

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const auto fields = web::uri::split_query(web::uri(aTarget).query());
    const auto found = fields.find(aName);
    return found == fields.end() ? "" : web::uri::decode(found->second);
  }
  static web::json::value Entry(const std::string& aTable,
                                const std::string& aKey,
                                const Row& aRow)
  {
    web::json::value row = web::json::value::object();
    row["table"] = web::json::value(aTable);
    row["part"] = web::json::value(std::string());
    row["key"] = web::json::value(aKey);
    row["ver"] = web::json::value(aRow.mVer);
    if (aRow.mDeleted) {
      row["deleted"] = web::json::value(true);
    } else {
      row["value"] = web::json::value(aRow.mValue);
    }
    return row;
  }
  bool Answer(const Message& aRequest, Conn& aConnection)
  {
    int status = 200;
    web::json::value body = web::json::value::object();
    const std::string& target = aRequest.mSecond;
    Sleep(0.004);
    if (target.rfind("/rows-get", 0) == 0) {
      Get(target, body);
    } else if (target.rfind("/rows-feed", 0) == 0) {
      Feed(target, body, aConnection);
    } else if (target.rfind("/rows-tx", 0) == 0) {
      status = Change(aRequest.mBody, body);
    } else {
      status = 404;
    }
    body["nowMs"] = web::json::value(static_cast<std::int64_t>(Now() * 1000));
    return aConnection.Send(
      Response(status, "Content-Type: application/json\r\n", body.serialize()));
  }
  void Get(const std::string& aTarget, web::json::value& aBody)
  {
    const std::string from = Query(aTarget, "from");
    const std::string to = Query(aTarget, "target");
    std::size_t limit =
      std::strtoull(Query(aTarget, "limit").c_str(), nullptr, 10);
    limit = limit == 0 || limit > 500 ? 500 : limit;
    const std::lock_guard lock(mMutex);
    const std::string table = Query(aTarget, "table");
    std::vector<web::json::value> rows;
    bool more = false;
    for (const auto& [key, row] : mTables[table]) {
      if (row.mDeleted || key < from || (!to.empty() && key >= to)) {
        continue;
      }
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.push_back(Entry(table, key, row));
    }
    aBody["rows"] = web::json::value::array(rows);
    aBody["hasMore"] = web::json::value(more);
    aBody["ver"] = web::json::value(mVer);
  }
  void Feed(const std::string& aTarget, web::json::value& aBody, Conn& aConn)
  {
    const std::string table = Query(aTarget, "table");
    const std::uint64_t after =
      std::strtoull(Query(aTarget, "after").c_str(), nullptr, 10);
    const double until =
      Now() + std::atof(Query(aTarget, "waitMs").c_str()) / 1000;
    std::unique_lock lock(mMutex);
    std::map<std::uint64_t, web::json::value> changed;
    for (;;) {
      for (const auto& [key, row] : mTables[table]) {
        if (row.mVer > after) {
          changed.emplace(row.mVer, Entry(table, key, row));
        }
      }
      if (!changed.empty() || Now() >= until || aConn.IsGone()) {
        break;
      }
      mChanged.wait_for(lock, std::chrono::milliseconds(20));
    }
    std::vector<web::json::value> rows;
    for (const auto& [ver, row] : changed) {
      rows.push_back(row);
    }
    aBody["rows"] = web::json::value::array(rows);
    aBody["ver"] = web::json::value(mVer);
  }
  int Change(const std::string& aText, web::json::value& aBody)
  {
    const web::json::value call = web::json::value::parse(aText);
    const std::lock_guard lock(mMutex);
    std::vector<web::json::value> current;
    bool holds = true;
    for (const auto& entry : call.at("expectedRev").as_array()) {
      const std::string table = entry.at("table").as_string();
      const std::string key = entry.at("key").as_string();
      const auto found = mTables[table].find(key);
      const bool exists =
        found != mTables[table].end() && !found->second.mDeleted;
      holds = holds && (exists ? found->second.mVer : 0) ==
                         entry.at("ver").as_number().to_uint64();
      if (exists) {
        current.push_back(Entry(table, key, found->second));
      }
    }
    if (!holds) {
      aBody["rows"] = web::json::value::array(current);
      aBody["ver"] = web::json::value(mVer);
      return 412;
    }
    ++mVer;
    for (const auto& entry : call.at("puts").as_array()) {
      mTables[entry.at("table").as_string()][entry.at("key").as_string()] = {
        entry.at("value").as_string(), mVer, false
      };
    }
    for (const auto& entry : call.at("remove").as_array()) {
      auto& rows = mTables[entry.at("table").as_string()];
      const auto found = rows.find(entry.at("key").as_string());
      if (found != rows.end()) {
        found->second = { "", mVer, true };
      }
    }
    mChanged.notify_all();
    aBody["ver"] = web::json::value(mVer);
    return 200;
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Row>> mTables;
  std::uint64_t mVer = 0;
  HttpServer mServer;
};

/// Ports of a machine; the same on all machines.
struct Ports
{
  int mInbound = 0;
  int mBackend = 0;
  int mReady = 0;
  int mOutbound = 0;
  int mControl = 0;
  int mStore = 0;
  int mPeer = 0;
  int mMetrics = 0;
};

/// One machine: a node of the project beside a backend server.
class Machine
{
public:
  Machine(std::string aIp,
          std::string aService,
          std::string aZone,
          Ports aPorts,
          std::string aStore,
          std::string aFolder,
          int aNumber)
    : mIp(std::move(aIp))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mPorts(aPorts)
    , mStore(std::move(aStore))
    , mName("node-" + std::to_string(aNumber))
    , mSettings(aFolder + "/" + mName + ".yaml")
    , mLog(aFolder + "/" + mName + ".log")
  {
    const auto at = [this](int aPort) {
      return "\"" + mIp + ":" + std::to_string(aPort) + "\"\n";
    };
    std::ofstream(mSettings)
      << "node:\n  service: \"" << mService << "\"\n  region: \"vidzeme\"\n"
      << "  availability_zone: \"" << mZone << "\"\n"
      << "  backend_server: " << at(mPorts.mBackend)
      << "listen:\n  caller: " << at(mPorts.mOutbound)
      << "  nodes: " << at(mPorts.mInbound) << "  ready: " << at(mPorts.mReady)
      << "  notices: " << at(mPorts.mControl) << "  peer: " << at(mPorts.mPeer)
      << "  metrics: " << at(mPorts.mMetrics) << "store: \"http://" << mStore
      << "\"\nlimits:\n  memory_mb: 260\nbounds:\n  drain_ms: 2500\n"
      << "  stop_s: 6\n  retry_ratio: 0.2\n  retry_extra: 97\n"
      << "  retry_window_s: 10\n";
  }
  ~Machine() { Kill(); }

  void Start()
  {
    const int out =
      open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl("target/nutmegrock",
            "target/nutmegrock",
            "gateway",
            "--settings",
            mSettings.c_str(),
            nullptr);
      _exit(127);
    }
    close(out);
    mPid = pid;
    gRecord->Line("%s service=%s started", mName.c_str(), mService.c_str());
  }
  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  /// Returns true once the process has ended, and how in aHow.
  bool HasEnded(std::string& aHow)
  {
    int status = 0;
    if (mPid <= 0 || waitpid(mPid, &status, WNOHANG) != mPid) {
      return false;
    }
    mPid = 0;
    aHow = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
    return true;
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
  }
  bool IsRunning() const { return mPid > 0; }
  bool IsReady() const
  {
    Conn connection;
    Message answer;
    return connection.Open(mIp, mPorts.mReady) &&
           connection.Send("GET /ready HTTP/1.1\r\nHost: n\r\n\r\n") &&
           connection.Read(answer, Now() + 1) == End::Complete &&
           answer.Status() == 200;
  }
  std::string LastLogLines(std::size_t aBytes = 600) const
  {
    std::ifstream file(mLog);
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    return text.size() > aBytes ? text.substr(text.size() - aBytes) : text;
  }

  const std::string mIp;
  const std::string mService;
  const std::string mZone;
  const Ports mPorts;
  const std::string mStore;
  const std::string mName;
  const std::string mSettings;
  const std::string mLog;

private:
  pid_t mPid = 0;
};

/// A backend server. It answers in the way of the pages; aWork decides what a
/// request with an id that is meant for this server gets.
class Backend
{
public:
  struct Reply
  {
    int mStatus = 200;
    std::string mBody;
    /// Time of work before the answer.
    double mSeconds = 0;
    /// If not 0, the server closes the connection after this many bytes of the
    /// body.
    std::size_t mBreakAfter = 0;
  };
  using Work = std::function<Reply(const Message&)>;

  Backend(const Machine& aMachine, int aSlots, Work aWork)
    : mMachine(aMachine)
    , mId("i-" + aMachine.mName)
    , mSlots(aSlots)
    , mWork(std::move(aWork))
    , mBorn(TimeOfDayMs())
    , mServer(aMachine.mIp,
              aMachine.mPorts.mBackend,
              [this](const Message& aRequest, Conn& aConnection) {
                return Answer(aRequest, aConnection);
              })
  {
    std::thread([this] {
      for (;;) {
        if (!mQuiet) {
          Notify("instances.heartbeat", Heartbeat());
        }
        Sleep(1.5);
      }
    }).detach();
  }
  bool IsGood() const { return mServer.IsGood(); }
  int Running() const { return mRunning; }
  const std::string& Id() const { return mId; }
  /// Body of a leave.
  std::string Leave() const
  {
    return R"({"born":)" + std::to_string(mBorn) + "}";
  }
  /// Body of the next heartbeat.
  std::string Heartbeat()
  {
    return R"({"service":")" + mMachine.mService + R"(","address":")" +
           mMachine.mIp + ":" + std::to_string(mMachine.mPorts.mBackend) +
           R"(","zone":")" + mMachine.mZone + R"(","version":"v1","slots":)" +
           std::to_string(mSlots) + R"(,"state":")" +
           (mDraining ? "draining" : "ready") +
           R"(","coldRemainingMs":0,"sequence":)" +
           std::to_string(++mSequence) + R"(,"born":)" + std::to_string(mBorn) +
           "}";
  }
  /// Sends a notice to the node on its machine. Returns the status, or 0.
  int Notify(const std::string& aCall, const std::string& aBody) const
  {
    Conn connection;
    Message answer;
    if (!connection.Open(mMachine.mIp, mMachine.mPorts.mControl) ||
        !connection.Send("POST /rpc?call=" + aCall + "&of=" + mId +
                         " HTTP/1.1\r\nHost: n\r\nContent-Type: "
                         "application/json\r\nContent-Length: " +
                         std::to_string(aBody.size()) + "\r\n\r\n" + aBody) ||
        connection.Read(answer, Now() + 1) != End::Complete) {
      return 0;
    }
    return answer.Status();
  }

  std::atomic<bool> mDraining{ false };
  /// The health check passes although the server leaves.
  std::atomic<bool> mFalseHealth{ false };
  std::atomic<bool> mQuiet{ false };

private:
  std::string Lines(const std::string& aId) const
  {
    std::string lines =
      "Nutmegrock-Server-Load: " + std::to_string(mRunning.load()) + ",0," +
      std::to_string(mSlots) + "\r\n";
    if (!aId.empty()) {
      lines += "Nutmegrock-Request-Id: " + aId + "\r\n";
    }
    return lines;
  }
  bool Answer(const Message& aRequest, Conn& aConnection)
  {
    if (aRequest.mSecond == "/health") {
      return aConnection.Send(
        Response(mDraining && !mFalseHealth ? 503 : 200,
                 Lines("") + "Nutmegrock-Instance-Id: " + mId + "\r\n",
                 ""));
    }
    const std::string id = aRequest.Header("nutmegrock-request-id");
    const std::string not_run = "Nutmegrock-Not-Executed: 1\r\n";
    if (id.empty()) {
      return aConnection.Send(Response(400, Lines("") + not_run, ""));
    }
    const std::string expected =
      aRequest.Header("nutmegrock-expected-instance");
    if (!expected.empty() && expected != mId) {
      return aConnection.Send(Response(
        421, Lines(id) + "Nutmegrock-Instance-Id: " + mId + "\r\n", ""));
    }
    if (++mRunning > mSlots) {
      --mRunning;
      return aConnection.Send(Response(503, Lines(id) + not_run, ""));
    }
    gRecord->Line("run      id=%s at=%s service=%s deadline_ms=%s",
                  id.c_str(),
                  mId.c_str(),
                  mMachine.mService.c_str(),
                  aRequest.Header("nutmegrock-deadline-ms").c_str());
    const Reply reply = mWork(aRequest);
    const double end = Now() + reply.mSeconds;
    bool gone = false;
    while (Now() < end && !gone) {
      Sleep(std::min(0.01, end - Now()));
      gone = aConnection.IsGone();
    }
    --mRunning;
    if (gone) {
      gRecord->Line("dropped  id=%s at=%s: its connection was closed",
                    id.c_str(),
                    mId.c_str());
      return false;
    }
    std::string text =
      Response(reply.mStatus,
               Lines(id) + "Nutmegrock-Server-Seal: seal." + id + "\r\n",
               reply.mBody);
    if (reply.mBreakAfter > 0) {
      text.resize(text.size() - reply.mBody.size() + reply.mBreakAfter);
      aConnection.Send(text);
      gRecord->Line("broke    id=%s at=%s after %zu of %zu bytes",
                    id.c_str(),
                    mId.c_str(),
                    reply.mBreakAfter,
                    reply.mBody.size());
      return false;
    }
    const bool sent = aConnection.Send(text);
    gRecord->Line("sent     id=%s at=%s status=%d bytes=%zu %s",
                  id.c_str(),
                  mId.c_str(),
                  reply.mStatus,
                  reply.mBody.size(),
                  sent ? "whole" : "cut");
    return sent;
  }

  const Machine& mMachine;
  const std::string mId;
  const int mSlots;
  const Work mWork;
  const std::int64_t mBorn;
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::atomic<int> mRunning{ 0 };
  HttpServer mServer;
};

struct Path
{
  std::string mPrefix;
  std::string mService;
  std::string mKind = "safe";
  int mTimeoutMs = 5000;
};

/// The config as the operator writes it.
inline std::string
Config(int aVersion,
       const std::vector<Path>& aPaths,
       int aMaxHeaderBytes = 16384)
{
  std::set<std::string> services;
  std::string paths;
  for (const Path& path : aPaths) {
    services.insert(path.mService);
    paths += (paths.empty() ? "" : ",");
    paths += R"({"name":"route)" + std::to_string(paths.size()) +
             R"(","pathPrefix":")" + path.mPrefix + R"(","kind":")" +
             path.mKind + R"(","service":")" + path.mService +
             R"(","timeoutMs":)" + std::to_string(path.mTimeoutMs) +
             R"(,"targetLatencyMs":1500,"priority":1,"maxAttempts":2})";
  }
  std::string list;
  for (const std::string& service : services) {
    list += (list.empty() ? "" : ",");
    list += R"({"name":")" + service +
            R"(","healthPath":"/health","maxConnections":1000})";
  }
  return R"({"version":"r)" + std::to_string(aVersion) + R"(","services":[)" +
         list + R"(],"limits":{"maxHeaderBytes":)" +
         std::to_string(aMaxHeaderBytes) +
         R"(,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)" +
         R"("idleTimeoutMs":15000},"hosts":[{"host":"depot.example","paths":[)" +
         paths + "]}]}";
}

inline std::string
Request(const std::string& aMethod,
        const std::string& aPath,
        const std::string& aId,
        int aDeadlineMs,
        const std::string& aLines = "",
        const std::string& aBody = "")
{
  std::string text =
    aMethod + " " + aPath +
    " HTTP/1.1\r\nHost: depot.example\r\n"
    "Nutmegrock-Request-Id: " +
    aId + "\r\nNutmegrock-Deadline-Ms: " + std::to_string(aDeadlineMs) +
    "\r\n" + aLines;
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// A small deployment: a store, and machines with loopback addresses of their
/// own and the same ports.
class Site
{
public:
  explicit Site(const std::string& aFolderOfCase)
    : mRecord(aFolderOfCase + "/record.txt")
  {
    gRecord = &mRecord;
    std::signal(SIGPIPE, SIG_IGN);
    char pattern[] = "review-2-XXXXXX";
    const std::string temporary =
      (std::filesystem::temp_directory_path() / pattern).string();
    std::vector<char> name(temporary.begin(), temporary.end());
    name.push_back('\0');
    mFolder = mkdtemp(name.data()) != nullptr ? name.data() : "";
    const int pid = getpid();
    mNet = "127." + std::to_string(20 + pid / 250 % 200) + "." +
           std::to_string(1 + pid % 250) + ".";
  }
  /// Ends the nodes and removes the temporary folder.
  void CleanUp()
  {
    for (auto& machine : mMachines) {
      machine->Kill();
    }
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
  std::string Ip(int aNumber) const { return mNet + std::to_string(aNumber); }

  /// Finds free ports and starts the store. Returns false without.
  bool Open(int aMachines)
  {
    for (int base = 22000; base < 40000 && mPorts.mInbound == 0; base += 100) {
      if (AreFree(base, aMachines)) {
        mPorts = { base,     base + 1, base + 2,  base + 4,
                   base + 6, base + 9, base + 20, base + 64 };
      }
    }
    if (mPorts.mInbound == 0) {
      return false;
    }
    mStore = std::make_unique<Store>(Ip(100), mPorts.mStore);
    return mStore->IsGood();
  }
  Machine& Add(const std::string& aService, const std::string& aZone)
  {
    const int number = static_cast<int>(mMachines.size()) + 1;
    mMachines.push_back(
      std::make_unique<Machine>(Ip(number),
                                aService,
                                aZone,
                                mPorts,
                                Ip(100) + ":" + std::to_string(mPorts.mStore),
                                mFolder,
                                number));
    return *mMachines.back();
  }
  Store& GetStore() { return *mStore; }
  std::vector<std::unique_ptr<Machine>>& Machines() { return mMachines; }

  /// Waits until all nodes are ready and a request from each machine on each
  /// path succeeds, three times in a row.
  bool WaitForService(const std::vector<std::string>& aPaths, double aSeconds)
  {
    const double until = Now() + aSeconds;
    int good = 0;
    while (good < 3 && Now() < until) {
      bool all = true;
      for (const auto& machine : mMachines) {
        all = all && machine->IsReady();
        for (const std::string& path : aPaths) {
          all = all && Ask(*machine, path) == 200;
        }
      }
      good = all ? good + 1 : 0;
      Sleep(0.2);
    }
    return good == 3;
  }
  /// Sends one request on a new connection. Returns the status, or 0.
  int Ask(const Machine& aMachine, const std::string& aPath)
  {
    Conn connection;
    Message answer;
    const std::string id = "warm-" + std::to_string(++mWarm);
    if (!connection.Open(aMachine.mIp, mPorts.mOutbound) ||
        !connection.Send(Request("GET", aPath, id, 2000)) ||
        connection.Read(answer, Now() + 2) != End::Complete) {
      return 0;
    }
    return answer.Status();
  }
  Ports mPorts;

private:
  bool AreFree(int aBase, int aMachines) const
  {
    for (int number = 1; number <= aMachines + 1; ++number) {
      const std::string ip = Ip(number > aMachines ? 100 : number);
      for (const int offset : { 0, 1, 2, 4, 6, 9, 20, 64 }) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(aBase + offset));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const bool free =
          bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(fd);
        if (!free) {
          return false;
        }
      }
    }
    return true;
  }

  Record mRecord;
  std::string mFolder;
  std::string mNet;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Machine>> mMachines;
  int mWarm = 0;
};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/// Ends the process and all that it started: the threads of the stand-ins have
/// no orderly end.
[[noreturn]] inline void
Finish(Site& aSite, int aCode, const std::string& aWhy)
{
  static std::mutex sOnce;
  sOnce.lock();
  const char* word = aCode == kHeld     ? "the rule held"
                     : aCode == kBroken ? "THE RULE WAS BROKEN"
                                        : "the case could not run";
  gRecord->Line("result: %s (%s)", word, aWhy.c_str());
  std::printf("%s: %s\n", word, aWhy.c_str());
  std::fflush(stdout);
  aSite.CleanUp();
  std::_Exit(aCode);
}

/// Ends a script that takes too long.
inline void
LimitTime(Site& aSite, double aSeconds)
{
  std::thread([&aSite, aSeconds] {
    Sleep(aSeconds);
    Finish(aSite, kCannotRun, "it took too long");
  }).detach();
}

} // namespace review
