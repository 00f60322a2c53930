#include "proxy/MessageParser.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>
#include <functional>
#include <utility>

namespace nutmegrock::proxy {

namespace {

namespace http = boost::beast::http;
using Text = boost::beast::string_view;

bool
EqualsIgnoreCase(Text aName, std::string_view aOther)
{
  return aName.size() == aOther.size() &&
         boost::beast::iequals(aName, Text(aOther.data(), aOther.size()));
}

std::string
ToString(Text aText)
{
  return { aText.data(), aText.size() };
}

std::optional<std::uint64_t>
ParseNumber(Text aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || stop != end || aText.empty()) {
    return std::nullopt;
  }
  return value;
}

/// Maximum deadline taken from a header, in milliseconds. Larger values, which
/// mean "no limit", are reduced to it.
constexpr std::uint64_t kMaxMilliseconds = 3'600'000;

/// Returns the timeout parameter of a Keep-Alive header.
std::optional<std::chrono::seconds>
ParseIdleTimeout(Text aValue)
{
  constexpr std::string_view kKey = "timeout=";
  const auto at = aValue.find(Text(kKey.data(), kKey.size()));
  if (at == Text::npos) {
    return std::nullopt;
  }
  std::uint32_t seconds = 0;
  const char* begin = aValue.data() + at + kKey.size();
  const auto result =
    std::from_chars(begin, aValue.data() + aValue.size(), seconds);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/// Returns a rate of at least 0; nullopt if it is no number.
std::optional<double>
ParseRate(Text aValue)
{
  double value = 0;
  const char* end = aValue.data() + aValue.size();
  const auto [stop, error] = std::from_chars(aValue.data(), end, value);
  if (error != std::errc() || stop != end || !std::isfinite(value) ||
      value < 0) {
    return std::nullopt;
  }
  return value;
}

constexpr int kHttp11 = 11;

/// Returns true if a final or an interim response may have this status. A
/// switch to another protocol is never requested.
bool
IsValidStatus(int aStatus)
{
  constexpr int kMin = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kMax = 599;
  return aStatus >= kMin && aStatus <= kMax && aStatus != kSwitchingProtocols;
}

/// Returns true if the field concerns one connection only.
bool
IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

} // namespace

template<bool IsRequest>
MessageParser<IsRequest>::MessageParser(const HeaderNames& aNames,
                                        ParserHooks aHooks,
                                        std::uint32_t aMaxHeaderBytes,
                                        std::uint64_t aMaxBodyBytes)
  : mNames(aNames)
  , mHooks(std::move(aHooks))
  , mMaxHeaderBytes(aMaxHeaderBytes)
{
  Base::header_limit(aMaxHeaderBytes);
  Base::body_limit(aMaxBodyBytes);
  Base::eager(true);
}

template<bool IsRequest>
std::size_t
MessageParser<IsRequest>::Put(std::string_view aBytes, Code& aCode)
{
  mInputEnd = aBytes.data() + aBytes.size();
  const std::size_t used =
    Base::put(boost::asio::const_buffer(aBytes.data(), aBytes.size()), aCode);
  if (aCode == http::error::need_more &&
      aBytes.size() - used > mMaxHeaderBytes) {
    aCode = http::error::header_limit;
  }
  return used;
}

template<bool IsRequest>
void
MessageParser<IsRequest>::PutEnd(Code& aCode)
{
  Base::put_eof(aCode);
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_request_impl(Verb,
                                          Text aMethod,
                                          Text aTarget,
                                          int aVersion,
                                          Code&)
{
  mVersion = aVersion;
  if constexpr (IsRequest) {
    mHead.mMethod = ToString(aMethod);
    mHead.mTarget = ToString(aTarget);
    mHead.mTakesChunks = aVersion >= kHttp11;
  }
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_response_impl(int aStatus,
                                           Text aReason,
                                           int aVersion,
                                           Code& aCode)
{
  mVersion = aVersion;
  if (!IsValidStatus(aStatus)) {
    aCode = http::error::bad_status;
    return;
  }
  if constexpr (!IsRequest) {
    mHead.mStatus = static_cast<unsigned>(aStatus);
    mHead.mReason = ToString(aReason);
  }
}

template<bool IsRequest>
bool
MessageParser<IsRequest>::IsFolded(Text aName, Text aValue) const
{
  // A value of one line follows its name in the input. The base class copies
  // other values, except those with a single line that is not empty.
  const std::less<> less;
  const char* begin = aName.data() + aName.size();
  if (less(aValue.data(), begin) ||
      less(mInputEnd, aValue.data() + aValue.size())) {
    return true;
  }
  const Text between(begin, static_cast<std::size_t>(aValue.data() - begin));
  return between.find('\n') != Text::npos;
}

template<bool IsRequest>
typename MessageParser<IsRequest>::Code
MessageParser<IsRequest>::CheckField(Field aField,
                                     Text aName,
                                     Text aValue) const
{
  const bool is_coding = aField == Field::transfer_encoding;
  const bool is_framing = is_coding || aField == Field::content_length;
  // Requests with folded lines were always forwarded, with one line instead.
  if ((!IsRequest || is_framing) && IsFolded(aName, aValue)) {
    return http::error::bad_value;
  }
  // The base class ignores codings that it does not know. It refuses a coding
  // beside a length, a second "chunked", and lengths that differ.
  if (is_coding &&
      (mVersion < kHttp11 || !EqualsIgnoreCase(aValue, "chunked"))) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

template<bool IsRequest>
bool
MessageParser<IsRequest>::StoreKnownField(Text aName, Text aValue)
{
  if (EqualsIgnoreCase(aName, mNames.mRequestId)) {
    mHead.mRequestId = ToString(aValue);
    return true;
  }
  if constexpr (IsRequest) {
    if (EqualsIgnoreCase(aName, mNames.mDeadlineMs)) {
      if (const auto value = ParseNumber(aValue)) {
        mHead.mTimeout =
          std::chrono::milliseconds(std::min(*value, kMaxMilliseconds));
      }
      return true;
    }
    if (EqualsIgnoreCase(aName, kPeerCallHeader)) {
      mHead.mPeerCall = ToString(aValue);
      return true;
    }
    // All are set only by nodes.
    return EqualsIgnoreCase(aName, mNames.mCallerService) ||
           EqualsIgnoreCase(aName, mNames.mExpectedServer) ||
           EqualsIgnoreCase(aName, mNames.mTenant);
  } else {
    if (EqualsIgnoreCase(aName, kPeerNoteHeader)) {
      mHead.mPeerNote = ToString(aValue);
      return true;
    }
    mHead.mFromBackend =
      mHead.mFromBackend || EqualsIgnoreCase(aName, mNames.mBackendMarker);
    mHead.mNotRun = mHead.mNotRun || EqualsIgnoreCase(aName, mNames.mNotRun);
    if (EqualsIgnoreCase(aName, mNames.mServerId)) {
      mHead.mServerId = ToString(aValue);
    } else if (EqualsIgnoreCase(aName, mNames.mLoad)) {
      mHead.mLoad = ToString(aValue);
    } else if (EqualsIgnoreCase(aName, mNames.mRateLimit)) {
      mHead.mRateLimit = ParseRate(aValue);
    } else if (EqualsIgnoreCase(aName, mNames.mLeaving)) {
      mHead.mLeaving = ToString(aValue) == "1";
    }
    return false;
  }
}

template<bool IsRequest>
void
MessageParser<IsRequest>::AddHeaderLine(std::string& aLines,
                                        Text aName,
                                        Text aValue)
{
  aLines.append(aName.data(), aName.size());
  aLines += ": ";
  aLines.append(aValue.data(), aValue.size());
  aLines += "\r\n";
}

template<bool IsRequest>
void
MessageParser<IsRequest>::DropHeaderLines(std::string& aLines, Text aName)
{
  std::size_t at = 0;
  while (at < aLines.size()) {
    const std::size_t end = aLines.find("\r\n", at) + 2;
    const std::size_t colon = aLines.find(':', at);
    if (EqualsIgnoreCase(Text(aLines.data() + at, colon - at),
                         { aName.data(), aName.size() })) {
      aLines.erase(at, end - at);
    } else {
      at = end;
    }
  }
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_field_impl(Field aField,
                                        Text aName,
                                        Text aValue,
                                        Code& aCode)
{
  aCode = CheckField(aField, aName, aValue);
  if (aCode) {
    return;
  }
  if (aField == Field::connection) {
    mConnectionOptions += ToString(aValue) + ",";
    return;
  }
  if constexpr (IsRequest) {
    if (aField == Field::expect) {
      mHead.mExpectsContinue = EqualsIgnoreCase(aValue, "100-continue");
    }
    if (aField == Field::host && mHead.mHost.empty()) {
      mHead.mHost = ToString(aValue);
    }
  } else if (aField == Field::keep_alive) {
    mHead.mIdleTimeout = ParseIdleTimeout(aValue);
  }
  if (IsHopByHop(aField)) {
    return;
  }
  if (aField == Field::unknown && StoreKnownField(aName, aValue)) {
    return;
  }
  if constexpr (IsRequest) {
    if (EqualsIgnoreCase(aName, mNames.mKey)) {
      AddHeaderLine(mHead.mKeyLines, aName, aValue);
      return;
    }
  }
  AddHeaderLine(mHead.mHeaderLines, aName, aValue);
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_header_impl(Code&)
{
  mHead.mKeepAlive = Base::keep_alive();
  if (Base::chunked()) {
    mHead.mFraming = BodyFraming::Chunked;
  } else if (const auto length = Base::content_length()) {
    mHead.mFraming = BodyFraming::Length;
    mHead.mLength = *length;
  } else if (!IsRequest && Base::need_eof()) {
    mHead.mFraming = BodyFraming::UntilClose;
  }
  for (const auto& option : http::token_list(mConnectionOptions)) {
    if (EqualsIgnoreCase(option, "close") ||
        EqualsIgnoreCase(option, "keep-alive")) {
      continue;
    }
    DropHeaderLines(mHead.mHeaderLines, option);
    if constexpr (IsRequest) {
      DropHeaderLines(mHead.mKeyLines, option);
    }
  }
  mHooks.mOnHead();
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_body_init_impl(
  boost::optional<std::uint64_t> const&,
  Code&)
{
}

template<bool IsRequest>
std::size_t
MessageParser<IsRequest>::on_body_impl(Text aBody, Code&)
{
  mHooks.mOnBody({ aBody.data(), aBody.size() });
  return aBody.size();
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_chunk_header_impl(std::uint64_t, Text, Code&)
{
}

template<bool IsRequest>
std::size_t
MessageParser<IsRequest>::on_chunk_body_impl(std::uint64_t, Text aBody, Code&)
{
  mHooks.mOnBody({ aBody.data(), aBody.size() });
  return aBody.size();
}

template<bool IsRequest>
void
MessageParser<IsRequest>::on_finish_impl(Code&)
{
}

template class MessageParser<true>;
template class MessageParser<false>;

} // namespace nutmegrock::proxy
