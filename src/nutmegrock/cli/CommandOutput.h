#pragma once

#include "cli/AdminClient.h"
#include "cli/ExitCode.h"
#include "core/Address.h"
#include "profiles/DocumentFault.h"

#include <cpprest/json.h>
#include <optional>
#include <ostream>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace nutmegrock::cli {

/// Where a subcommand writes and how.
struct CommandOutput
{
  std::ostream& mOut;
  std::ostream& mErr;
  /// Print JSON instead of text.
  bool mJson = false;

  /// Writes a message and gives the code.
  ExitCode Fail(ExitCode aCode, const std::string& aMessage) const;
  /// Reports a refusal of the administration API.
  ExitCode Refused(const AdminClient::Response& aResponse) const;
  /// Lists the faults of a document, or says that there are none.
  void PrintFaults(const std::vector<profiles::DocumentFault>& aFaults,
                   const std::string& aFile) const;
  /// Prints the changes of an answer as text.
  void PrintChanges(const web::json::value& aChanges) const;
};

/// The whole file, or nothing when it cannot be read.
std::optional<std::string>
ReadFile(const std::string& aPath);

/// Sends a GET and gives the answer's body, or reports why there is none.
tl::expected<web::json::value, ExitCode>
Fetch(const core::Address& aAdmin,
      const std::string& aPath,
      const CommandOutput& aOutput);

} // namespace nutmegrock::cli
