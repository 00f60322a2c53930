#pragma once

#include "cli/ExitCode.h"
#include "cli/StreamOutput.h"
#include "core/Address.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace nutmegrock::cli {

/// The arguments of a subcommand, parsed by TCLAP.
class CommandLine
{
public:
  using ValueArg = TCLAP::ValueArg<std::string>;
  using PositionalArg = TCLAP::UnlabeledValueArg<std::string>;

  /// aName follows "nutmegrock" in messages.
  CommandLine(const std::string& aName,
              const std::string& aSummary,
              std::ostream& aOut,
              std::ostream& aErr);

  /// Adds an argument. The returned reference is valid as long as this object.
  const PositionalArg& Positional(const std::string& aName,
                                  const std::string& aSummary);
  const ValueArg& Value(const std::string& aFlag,
                        const std::string& aType,
                        const std::string& aSummary,
                        bool aRequired,
                        const std::string& aDefault = {});
  const TCLAP::SwitchArg& Switch(const std::string& aFlag,
                                 const std::string& aSummary);
  /// --admin IP:PORT.
  const ValueArg& Admin();

  /// Parses the arguments. Returns an exit code if the subcommand is to end: Ok
  /// after --help, WrongUsage after an error message.
  std::optional<ExitCode> Parse(const std::vector<std::string>& aArguments);

  /// The value as a number, or nullopt after printing an error message.
  std::optional<std::uint64_t> NumberOf(
    const TCLAP::ValueArg<std::string>& aArgument);
  /// The value as an address, or nullopt after printing an error message.
  std::optional<core::Address> AddressOf(const ValueArg& aArgument);

private:
  std::string mName;
  std::ostream& mErr;
  StreamOutput mOutput;
  TCLAP::CmdLine mCommand;
  std::vector<std::unique_ptr<TCLAP::Arg>> mArguments;
};

} // namespace nutmegrock::cli
