#include "cli/CommandLine.h"

#include <charconv>
#include <utility>

namespace nutmegrock::cli {

CommandLine::CommandLine(const std::string& aName,
                         const std::string& aSummary,
                         std::ostream& aOut,
                         std::ostream& aErr)
  : mName("nutmegrock " + aName)
  , mErr(aErr)
  , mOutput(aOut, aErr)
  , mCommand(aSummary, ' ', NUTMEGROCK_VERSION)
{
  mCommand.setOutput(&mOutput);
  mCommand.setExceptionHandling(false);
}

const CommandLine::PositionalArg&
CommandLine::Positional(const std::string& aName, const std::string& aSummary)
{
  auto argument =
    std::make_unique<PositionalArg>(aName, aSummary, true, "", aName);
  const PositionalArg& added = *argument;
  mCommand.add(*argument);
  mArguments.push_back(std::move(argument));
  return added;
}

const CommandLine::ValueArg&
CommandLine::Value(const std::string& aFlag,
                   const std::string& aType,
                   const std::string& aSummary,
                   bool aRequired,
                   const std::string& aDefault)
{
  auto argument =
    std::make_unique<ValueArg>("", aFlag, aSummary, aRequired, aDefault, aType);
  const ValueArg& added = *argument;
  mCommand.add(*argument);
  mArguments.push_back(std::move(argument));
  return added;
}

const TCLAP::SwitchArg&
CommandLine::Switch(const std::string& aFlag, const std::string& aSummary)
{
  auto argument = std::make_unique<TCLAP::SwitchArg>("", aFlag, aSummary);
  const TCLAP::SwitchArg& added = *argument;
  mCommand.add(*argument);
  mArguments.push_back(std::move(argument));
  return added;
}

const CommandLine::ValueArg&
CommandLine::Admin()
{
  return Value("admin",
               "IP:PORT",
               "Administration address of any node.",
               false,
               "127.0.0.1:7003");
}

std::optional<ExitCode>
CommandLine::Parse(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments = { mName };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  try {
    mCommand.parse(arguments);
    return std::nullopt;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::WrongUsage;
  } catch (TCLAP::ArgException& exception) {
    mOutput.failure(mCommand, exception);
    return ExitCode::WrongUsage;
  }
}

std::optional<std::uint64_t>
CommandLine::NumberOf(const TCLAP::ValueArg<std::string>& aArgument)
{
  const std::string& text = aArgument.getValue();
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, status] = std::from_chars(text.data(), end, number);
  if (text.empty() || stopped != end || status != std::errc{}) {
    mErr << mName << ": " << aArgument.getName() << " must be a number, not \""
         << text << "\"\n";
    return std::nullopt;
  }
  return number;
}

std::optional<core::Address>
CommandLine::AddressOf(const ValueArg& aArgument)
{
  const auto address = core::Address::Parse(aArgument.getValue());
  if (!address) {
    mErr << mName << ": " << address.error().mMessage << "\n";
    return std::nullopt;
  }
  return *address;
}

} // namespace nutmegrock::cli
