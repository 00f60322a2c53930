#pragma once

#include "tests/adapter/standin/Http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegrock::tests::standin {

/// The platform's store, as far as nodes use it. It has one address for each
/// node, so that it can refuse single ones.
class Store
{
public:
  enum class State
  {
    Up,
    /// Closes every connection.
    Down,
    /// Answers 503 or 429.
    Unavailable,
    Busy,
    /// Answers after a second.
    Slow
  };

  Store() = default;
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store();

  /// Serves at a further address. The index of an address is the number of
  /// those before it.
  void Listen(const core::Address& aAddress);
  void Set(State aState);
  void Set(std::size_t aIndex, State aState);
  /// From now on connections that are open are not answered; new ones are.
  void SilenceOpenConnections();
  /// Writes a row as the operator does; acknowledged on return.
  void Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aBytes);

private:
  struct Row
  {
    /// Base64, as it is sent.
    std::string mValue;
    std::uint64_t mVer = 0;
    bool mDeleted = false;
  };

  bool Answer(std::size_t aIndex,
              const Message& aRequest,
              Connection& aConnection);
  int Get(const std::string& aTarget, std::string& aBody);
  /// Returns 0 if the store goes down meanwhile.
  int Feed(std::size_t aIndex, const std::string& aTarget, std::string& aBody);
  int Change(const std::string& aText, std::string& aBody);
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::string aValue);
  std::string Tail() const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Row>> mTables;
  std::uint64_t mVer = 0;
  std::vector<std::unique_ptr<std::atomic<State>>> mStates;
  std::atomic<double> mSilentBefore{ -1 };
  std::atomic<bool> mStopping{ false };
  std::vector<std::unique_ptr<HttpServer>> mServers;
};

} // namespace nutmegrock::tests::standin
