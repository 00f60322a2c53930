#include "experiment/Plan.h"

#include <cctype>

namespace nutmegrock::experiment {

namespace {

using Steps = std::vector<std::vector<PlannedCall>>;

class Parser
{
public:
  explicit Parser(std::string_view aText)
    : mText(aText)
  {
  }

  bool AtEnd() const { return mPosition == mText.size(); }

  bool ParseSteps(Steps& aSteps, int aDepth)
  {
    if (aDepth > Plan::kMaxDepth) {
      return false;
    }
    do {
      std::vector<PlannedCall> step;
      do {
        PlannedCall call;
        if (!ParseCall(call, aDepth)) {
          return false;
        }
        step.push_back(std::move(call));
      } while (Take('+'));
      aSteps.push_back(std::move(step));
    } while (Take(','));
    return true;
  }

private:
  bool Take(char aExpected)
  {
    if (mPosition < mText.size() && mText[mPosition] == aExpected) {
      ++mPosition;
      return true;
    }
    return false;
  }

  std::string TakeWord(bool aAllowSlash)
  {
    const std::size_t start = mPosition;
    while (mPosition < mText.size()) {
      const auto c = static_cast<unsigned char>(mText[mPosition]);
      const bool accepted = std::isalnum(c) != 0 || c == '-' || c == '_' ||
                            c == '.' || (aAllowSlash && c == '/');
      if (!accepted) {
        break;
      }
      ++mPosition;
    }
    return std::string(mText.substr(start, mPosition - start));
  }

  bool ParseCall(PlannedCall& aCall, int aDepth)
  {
    aCall.mService = TakeWord(false);
    if (aCall.mService.empty() || !Take('/')) {
      return false;
    }
    aCall.mPath = TakeWord(true);
    if (aCall.mPath.empty()) {
      return false;
    }
    if (Take('(')) {
      return ParseSteps(aCall.mSteps, aDepth + 1) && Take(')');
    }
    return true;
  }

  std::string_view mText;
  std::size_t mPosition = 0;
};

void
AppendSteps(const Steps& aSteps, std::string& aText)
{
  for (std::size_t step = 0; step < aSteps.size(); ++step) {
    aText += step == 0 ? "" : ",";
    for (std::size_t i = 0; i < aSteps[step].size(); ++i) {
      const PlannedCall& call = aSteps[step][i];
      aText += i == 0 ? "" : "+";
      aText += call.mService;
      aText += '/';
      aText += call.mPath;
      if (!call.mSteps.empty()) {
        aText += '(';
        AppendSteps(call.mSteps, aText);
        aText += ')';
      }
    }
  }
}

std::size_t
CountCalls(const Steps& aSteps)
{
  std::size_t count = 0;
  for (const auto& step : aSteps) {
    for (const PlannedCall& call : step) {
      count += 1 + CountCalls(call.mSteps);
    }
  }
  return count;
}

} // namespace

core::Expected<Plan>
Plan::Parse(std::string_view aText)
{
  Plan plan;
  if (aText.empty()) {
    return plan;
  }
  Parser parser(aText);
  if (!parser.ParseSteps(plan.mSteps, 1) || !parser.AtEnd()) {
    return core::Fail(core::ErrorKind::BadRequest,
                      "malformed plan: " + std::string(aText));
  }
  return plan;
}

std::string
Plan::ToString() const
{
  std::string text;
  AppendSteps(mSteps, text);
  return text;
}

std::size_t
Plan::CallCount() const
{
  return CountCalls(mSteps);
}

} // namespace nutmegrock::experiment
