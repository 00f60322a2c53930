#pragma once

#include "core/Address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace nutmegrock::standin_backend {

enum class Distribution : std::uint8_t
{
  Lognormal,
  Exponential
};

/// Command line settings of one stand-in backend server.
struct Settings
{
  core::Address mListen;
  /// Backend listener of the local node; port 0 for none.
  core::Address mNode;
  std::string mService;
  std::size_t mSlots = 1;
  std::size_t mConnections = 100;
  /// Mean time of one run without its nested calls; with zero, runs end at
  /// once.
  std::chrono::microseconds mMean{ 0 };
  Distribution mDistribution = Distribution::Lognormal;
  std::uint64_t mSeed = 1;
  std::size_t mThreads = 1;
  /// Time after the start during which runs are slower.
  std::chrono::milliseconds mColdStart{ 0 };
};

} // namespace nutmegrock::standin_backend
