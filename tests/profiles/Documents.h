#pragma once

#include "profiles/ProfileDocument.h"
#include "profiles/ProfileRecord.h"

#include <string>

namespace nutmegrock::tests {

/// A document without faults and with the given timeout.
inline std::string
DocumentOf(int aTimeoutMs)
{
  return "profiles:\n"
         "  deposit:\n"
         "    importance: critical\n"
         "    timeout_ms: " +
         std::to_string(aTimeoutMs) +
         "\n"
         "    max_wait_ms: 0\n"
         "    idempotent: false\n"
         "    retry_budget: 3\n"
         "services:\n"
         "  till:\n"
         "    default: deposit\n";
}

/// A set published as aVersion.
inline profiles::PublishedSet
PublishedOf(std::uint64_t aVersion)
{
  profiles::ProfileRecord record;
  record.mVersion = aVersion;
  record.mPublication = "p" + std::to_string(aVersion);
  record.mAuthor = "Jānis \"J\"\n---\n";
  record.mTime = std::chrono::sys_seconds(std::chrono::seconds(1'700'000'000));
  record.mDocument = DocumentOf(1000 + static_cast<int>(aVersion));
  return profiles::PublishedSet::Of(record).value();
}

} // namespace nutmegrock::tests
