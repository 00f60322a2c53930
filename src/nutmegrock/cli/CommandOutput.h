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

/// Output streams and format of a subcommand.
struct CommandOutput
{
  std::ostream& mOut;
  std::ostream& mErr;
  /// Print JSON instead of text.
  bool mJson = false;

  /// Prints an error message and returns aCode.
  ExitCode Fail(ExitCode aCode, const std::string& aMessage) const;
  /// Prints an error response of the administration API and returns the exit
  /// code.
  ExitCode ReportRejection(const AdminClient::Response& aResponse) const;
  /// Prints the faults of a document, or that there are none.
  void PrintFaults(const std::vector<profiles::DocumentFault>& aFaults,
                   const std::string& aFile) const;
  /// Prints the changes of a response as text.
  void PrintChanges(const web::json::value& aChanges) const;
};

/// Reads a whole file. Returns nullopt if it cannot be read.
std::optional<std::string>
ReadFile(const std::string& aPath);

/// Sends a GET and returns the body of the response. Prints errors and returns
/// the exit code.
tl::expected<web::json::value, ExitCode>
Fetch(const core::Address& aAdmin,
      const std::string& aPath,
      const CommandOutput& aOutput);

} // namespace nutmegrock::cli
