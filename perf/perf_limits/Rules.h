#pragma once

#include "limits/ConcurrencyLimit.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegrock::perf {

/// An algorithm that adapts a concurrency limit, for the comparison in
/// docs/overload.md.
class Rule
{
public:
  Rule() = default;
  Rule(const Rule&) = delete;
  Rule& operator=(const Rule&) = delete;
  virtual ~Rule() = default;
  virtual std::uint32_t OnStart(core::TimePoint, std::uint32_t) { return 0; }
  virtual void OnFinish(core::TimePoint aNow,
                        std::uint32_t aInFlight,
                        std::uint32_t aSample,
                        const limits::CallOutcome& aOutcome) = 0;
  virtual std::uint32_t Limit() const = 0;
};

struct NamedRule
{
  std::string mName;
  std::function<std::unique_ptr<Rule>(std::uint32_t aSlots)> mMake;
};

/// All compared rules; the rule of the library is the last.
std::vector<NamedRule>
Rules();

} // namespace nutmegrock::perf
