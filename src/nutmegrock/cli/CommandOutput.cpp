#include "cli/CommandOutput.h"

#include "admin/ProfileJson.h"

#include <fstream>
#include <iterator>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::cli {

using web::json::value;

ExitCode
CommandOutput::Fail(ExitCode aCode, const std::string& aMessage) const
{
  mErr << "nutmegrock: " << aMessage << "\n";
  return aCode;
}

ExitCode
CommandOutput::ReportRejection(const AdminClient::Response& aResponse) const
{
  const std::string kind = aResponse.StringField("error");
  if (mJson) {
    mOut << aResponse.mBody.serialize() << "\n";
  }
  const bool unreachable = kind == "store_unavailable" || kind == "queue_full";
  return Fail(unreachable ? ExitCode::NotReachable : ExitCode::Refused,
              fmt::format("{}: {}", kind, aResponse.StringField("message")));
}

void
CommandOutput::PrintFaults(const std::vector<profiles::DocumentFault>& aFaults,
                           const std::string& aFile) const
{
  if (mJson) {
    value body = value::object();
    body["valid"] = value::boolean(aFaults.empty());
    body["faults"] = admin::JsonOf(aFaults);
    mOut << body.serialize() << "\n";
    return;
  }
  for (const profiles::DocumentFault& fault : aFaults) {
    mOut << aFile << ": " << fault.ToString() << "\n";
  }
  if (aFaults.empty()) {
    mOut << aFile << ": no faults\n";
  }
}

void
CommandOutput::PrintChanges(const value& aChanges) const
{
  const auto text = [](const value& aValue) {
    return aValue.is_string() ? std::optional(aValue.as_string())
                              : std::nullopt;
  };
  for (const value& change : aChanges.as_array()) {
    mOut << profiles::ProfileChange{ change.at("path").as_string(),
                                     text(change.at("before")),
                                     text(change.at("after")) }
              .ToString()
         << "\n";
  }
  if (aChanges.size() == 0) {
    mOut << "no difference\n";
  }
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), {});
  return file.bad() || !file.is_open() ? std::nullopt
                                       : std::optional(std::move(text));
}

tl::expected<value, ExitCode>
Fetch(const core::Address& aAdmin,
      const std::string& aPath,
      const CommandOutput& aOutput)
{
  const auto client = AdminClient::Make(aAdmin);
  const auto response = client ? client->Send("GET", aPath)
                               : core::Expected<AdminClient::Response>(
                                   tl::make_unexpected(client.error()));
  if (!response) {
    return tl::make_unexpected(
      aOutput.Fail(ExitCode::NotReachable, response.error().mMessage));
  }
  if (!response->IsSuccess()) {
    return tl::make_unexpected(aOutput.ReportRejection(*response));
  }
  return response->mBody;
}

} // namespace nutmegrock::cli
