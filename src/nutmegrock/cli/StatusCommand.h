#pragma once

#include <cpprest/json.h>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Runs `nutmegrock status --admin IP:PORT [--json]`, which prints the mesh as
/// one node sees it. Returns 0, 2 for wrong usage, 3 if the node cannot be
/// reached.
int
RunStatusCommand(const std::vector<std::string>& aArguments,
                 std::ostream& aOut,
                 std::ostream& aErr);

/// Formats the status of a node as text of at most 80 columns.
std::string
StatusText(const web::json::value& aStatus);

} // namespace nutmegrock::cli
