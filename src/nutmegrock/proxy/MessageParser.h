#pragma once

#include "proxy/HeaderNames.h"
#include "proxy/MessageHead.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

namespace nutmegrock::proxy {

/// Hooks of a parser, run while it parses bytes.
struct ParserHooks
{
  /// The head is complete, and the framing of the body is known.
  std::function<void()> mOnHead;
  /// Bytes of the body without their framing.
  std::function<void(std::string_view)> mOnBody;
};

/// Parses one HTTP/1.1 message incrementally, based on Boost.Beast's parser,
/// which checks the syntax and removes the framing of bodies. Refuses further
/// messages that other programs may delimit differently, see
/// docs/design/response-checks.md. Keeps the header lines as text, so that they
/// are forwarded without being serialized again.
template<bool IsRequest>
class MessageParser : private boost::beast::http::basic_parser<IsRequest>
{
public:
  using Head = std::conditional_t<IsRequest, RequestHead, ResponseHead>;
  using Code = boost::beast::error_code;

  /// The names must outlive the parser. aMaxHeaderBytes and aMaxBodyBytes limit
  /// the head and the body in bytes.
  MessageParser(const HeaderNames& aNames,
                ParserHooks aHooks,
                std::uint32_t aMaxHeaderBytes,
                std::uint64_t aMaxBodyBytes);

  /// Parses bytes and returns how many were consumed; the rest has to be passed
  /// again, followed by more. aCode is need_more if the message is not
  /// complete, and header_limit if the rest exceeds the header limit, as chunk
  /// extensions or trailers without end do.
  std::size_t Put(std::string_view aBytes, Code& aCode);
  /// The connection has ended. aCode is set if the message is not complete.
  void PutEnd(Code& aCode);
  /// The response to a HEAD request has no body.
  void ExpectNoBody() { Base::skip(true); }

  bool IsDone() const { return Base::is_done(); }
  bool HasStarted() const { return Base::got_some(); }
  bool HasHead() const { return Base::is_header_done(); }
  const Head& MessageHead() const { return mHead; }
  Head& MessageHead() { return mHead; }

private:
  using Base = boost::beast::http::basic_parser<IsRequest>;
  using Text = boost::beast::string_view;
  using Field = boost::beast::http::field;
  using Verb = boost::beast::http::verb;

  // NOLINTBEGIN(readability-identifier-naming): names of the base class.
  void on_request_impl(Verb, Text, Text, int, Code&) override;
  void on_response_impl(int, Text, int, Code&) override;
  void on_field_impl(Field, Text, Text, Code&) override;
  void on_header_impl(Code&) override;
  void on_body_init_impl(boost::optional<std::uint64_t> const&, Code&) override;
  std::size_t on_body_impl(Text, Code&) override;
  void on_chunk_header_impl(std::uint64_t, Text, Code&) override;
  std::size_t on_chunk_body_impl(std::uint64_t, Text, Code&) override;
  void on_finish_impl(Code&) override;
  // NOLINTEND(readability-identifier-naming)

  /// Returns an error if the field must not be forwarded or does not tell the
  /// end of the body clearly.
  Code CheckField(Field aField, Text aName, Text aValue) const;
  /// Returns true if the value extends over several lines.
  bool IsFolded(Text aName, Text aValue) const;
  /// Stores a field that has a member of its own. Returns false if the field
  /// must be forwarded as well.
  bool StoreKnownField(Text aName, Text aValue);
  static void AddHeaderLine(std::string& aLines, Text aName, Text aValue);
  /// Removes the header lines with a name that the sender listed in Connection.
  static void DropHeaderLines(std::string& aLines, Text aName);

  const HeaderNames& mNames;
  const ParserHooks mHooks;
  const std::uint32_t mMaxHeaderBytes;
  Head mHead;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int mVersion = 0;
  /// End of the bytes passed to Put(), which is running.
  const char* mInputEnd = nullptr;
  /// Header names listed in Connection, which must not be forwarded.
  std::string mConnectionOptions;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace nutmegrock::proxy
