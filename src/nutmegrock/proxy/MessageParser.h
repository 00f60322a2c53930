#pragma once

#include "proxy/HeaderNames.h"
#include "proxy/MessageHead.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

namespace nutmegrock::proxy {

/// What a parser found; called while bytes are given to it.
struct ParserHooks
{
  /// The head is complete. The framing of the body is known.
  std::function<void()> mOnHead;
  /// Bytes of the body without their framing.
  std::function<void(std::string_view)> mOnBody;
};

/// Reads one HTTP/1.1 message from bytes as they arrive, on Boost.Beast's
/// parser, which checks syntax and removes the framing of bodies. Keeps the
/// header lines as text, so that they are passed on without being built again.
template<bool IsRequest>
class MessageParser : private boost::beast::http::basic_parser<IsRequest>
{
public:
  using Head = std::conditional_t<IsRequest, RequestHead, ResponseHead>;
  using Code = boost::beast::error_code;

  /// The names must outlive the parser. aMaxBody bounds the body in bytes.
  MessageParser(const HeaderNames& aNames,
                ParserHooks aHooks,
                std::uint32_t aMaxHeader,
                std::uint64_t aMaxBody);

  /// Takes bytes and returns how many were used; the rest has to be given again
  /// with more behind it. aCode is need_more when the message goes on.
  std::size_t Put(std::string_view aBytes, Code& aCode);
  /// The connection has ended. aCode is set when the message is not complete.
  void PutEnd(Code& aCode);
  /// The answer to a HEAD request has no body.
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

  /// Takes a field that has a member of its own; false for others.
  bool TakeOwn(Text aName, Text aValue);
  void AddLine(Text aName, Text aValue);

  const HeaderNames& mNames;
  const ParserHooks mHooks;
  Head mHead;
  /// Names listed in Connection, which concern this connection only.
  std::string mConnectionOptions;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace nutmegrock::proxy
