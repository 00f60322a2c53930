#include "proxy/MessageParser.h"
#include "proxy/RequestText.h"
#include "proxy/TenantKey.h"

#include <boost/beast/http/error.hpp>
#include <doctest/doctest.h>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

using namespace nutmegrock::proxy;

namespace {

/// Result of parsing a message in pieces.
struct Parsed
{
  RequestHead mRequest;
  ResponseHead mResponse;
  std::string mBody;
  bool mDone = false;
  bool mFailed = false;
};

template<class Parser>
Parsed
ParseIn(std::string_view aText, std::size_t aPiece, bool aEndOfInput = false)
{
  const HeaderNames names;
  Parsed parsed;
  ParserHooks hooks;
  hooks.mOnHead = [] {};
  hooks.mOnBody = [&parsed](std::string_view aBytes) {
    parsed.mBody += aBytes;
  };
  Parser parser(names, std::move(hooks), 1024, 4096);
  std::string input;
  for (std::size_t at = 0; at < aText.size() && !parsed.mFailed; at += aPiece) {
    input += aText.substr(at, aPiece);
    boost::beast::error_code code;
    while (!input.empty() && !(parser.HasHead() && parser.IsDone())) {
      const std::size_t used = parser.Put(input, code);
      input.erase(0, used);
      if (code) {
        parsed.mFailed = code != boost::beast::http::error::need_more;
        break;
      }
    }
  }
  if (aEndOfInput && !parsed.mFailed) {
    boost::beast::error_code code;
    parser.PutEnd(code);
    parsed.mFailed = code.failed();
  }
  parsed.mDone = !parsed.mFailed && parser.HasStarted() && parser.HasHead() &&
                 parser.IsDone();
  if constexpr (std::is_same_v<Parser, RequestParser>) {
    parsed.mRequest = parser.MessageHead();
  } else {
    parsed.mResponse = parser.MessageHead();
  }
  return parsed;
}

} // namespace

TEST_CASE("a request is parsed the same in pieces of any size")
{
  const std::string text = "POST /pay/1?x=2 HTTP/1.1\r\n"
                           "Host: shop.example\r\n"
                           "nutmegrock-REQUEST: abc\r\n"
                           "Nutmegrock-Deadline-Ms: 600\r\n"
                           "X-Own: kept\r\n"
                           "X-Hop: dropped\r\n"
                           "Connection: X-Hop\r\n"
                           "Nutmegrock-Peer-Call: forged\r\n"
                           "Nutmegrock-Caller-Service: forged\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\n\r\n";
  for (const std::size_t piece : { 1U, 2U, 7U, 64U, 4096U }) {
    CAPTURE(piece);
    const Parsed parsed = ParseIn<RequestParser>(text, piece);
    REQUIRE(parsed.mDone);
    CHECK(parsed.mBody == "abcdefg");
    CHECK(parsed.mRequest.mMethod == "POST");
    CHECK(parsed.mRequest.mTarget == "/pay/1?x=2");
    CHECK(parsed.mRequest.mRequestId == "abc");
    CHECK(parsed.mRequest.mTimeout == std::chrono::milliseconds(600));
    CHECK(parsed.mRequest.mFraming == BodyFraming::Chunked);
    // Hop-by-hop headers and those that only nodes may set are not forwarded.
    CHECK(parsed.mRequest.mHeaderLines ==
          "Host: shop.example\r\nX-Own: kept\r\n");
  }
}

TEST_CASE("responses are framed by length, chunks or the end of the connection")
{
  const Parsed length = ParseIn<ResponseParser>(
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nNutmegrock-Seal: s\r\n"
    "Keep-Alive: timeout=9, max=5\r\n\r\nabc",
    5);
  CHECK(length.mDone);
  CHECK(length.mResponse.mFromBackend);
  CHECK(length.mResponse.mIdleTimeout == std::chrono::seconds(9));
  const Parsed open = ParseIn<ResponseParser>("HTTP/1.1 200 OK\r\n\r\nabc", 5);
  CHECK(!open.mDone);
  CHECK(open.mResponse.mFraming == BodyFraming::UntilClose);
  CHECK(ParseIn<ResponseParser>("HTTP/1.1 200 OK\r\n\r\nabc", 5, true).mDone);
  CHECK(ParseIn<ResponseParser>(
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 5, true)
          .mFailed);
}

TEST_CASE("invalid messages are rejected")
{
  const std::string long_header(2000, 'x');
  for (const std::string& text : {
         std::string("\x16\x03\x01\x02"),
         std::string("GET /\r\n\r\n"),
         std::string("GET / HTTP/2.0\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\nbad line\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\nContent-Length: 1\r\n"
                     "Content-Length: 2\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
         "GET / HTTP/1.1\r\nX: " + long_header + "\r\n\r\n",
         std::string("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"),
       }) {
    CAPTURE(text.substr(0, 60));
    CHECK(ParseIn<RequestParser>(text, 3).mFailed);
  }
}

// Guards against a tenant that a caller makes up, and against a key that is
// forwarded to the backend server with the other headers.
TEST_CASE("the key is kept apart and a caller's tenant is dropped")
{
  const Parsed parsed =
    ParseIn<RequestParser>("GET / HTTP/1.1\r\nNutmegrock-Tenant: forged\r\n"
                           "authorization:  Bearer k1 \r\nX-Own: kept\r\n"
                           "nutmegrock-TENANT: forged\r\n\r\n",
                           3);
  REQUIRE(parsed.mDone);
  CHECK(parsed.mRequest.mHeaderLines == "X-Own: kept\r\n");
  CHECK(parsed.mRequest.mKeyLines == "authorization: Bearer k1\r\n");
  CHECK(TenantKeyOf(parsed.mRequest, HeaderNames()) == "k1");
  // Without tenants the key goes to the backend server as before.
  CHECK(RequestText(parsed.mRequest, "") == "GET / HTTP/1.1\r\nX-Own: kept\r\n"
                                            "authorization: Bearer k1\r\n\r\n");
  const Parsed hop =
    ParseIn<RequestParser>("GET / HTTP/1.1\r\nAuthorization: Bearer k1\r\n"
                           "Connection: authorization\r\n\r\n",
                           64);
  REQUIRE(hop.mDone);
  CHECK(hop.mRequest.mKeyLines.empty());
}

TEST_CASE("only one key of the right scheme is a key")
{
  const std::pair<const char*, const char*> cases[] = {
    { "Authorization: Bearer k1\r\n", "k1" },
    { "Authorization: bEARER   k1\r\n", "k1" },
    { "Authorization: Bearer k1 k2\r\n", "k1 k2" },
    { "Authorization: Bearer k: 1\r\n", "k: 1" },
    { "", "" },
    { "Authorization: \r\n", "" },
    { "Authorization: Bearer\r\n", "" },
    { "Authorization: Bearer \r\n", "" },
    { "Authorization: k1\r\n", "" },
    { "Authorization: Basic k1\r\n", "" },
    { "Authorization: Bearerk1\r\n", "" },
    { "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n", "" },
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.first);
    RequestHead head;
    head.mKeyLines = entry.first;
    CHECK(TenantKeyOf(head, HeaderNames()) == entry.second);
  }
}

// Guards against unbounded memory: a server sends a chunk extension or trailers
// that never end.
TEST_CASE("framing without end is rejected before it exceeds the header limit")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string trailers = "0\r\n";
  for (int i = 0; i < 500; ++i) {
    trailers += "X-A: yyyy\r\n";
  }
  for (const std::string& framing :
       { "4;" + std::string(5000, 'x'), std::string(5000, '0'), trailers }) {
    for (const std::size_t piece : { 7U, 100U, 10'000U }) {
      CAPTURE(framing.substr(0, 20));
      CAPTURE(piece);
      CHECK(ParseIn<ResponseParser>(head + framing, piece).mFailed);
    }
  }
}

namespace {

/// Ways in which a body can be framed, with a body.
const std::string kFramings[] = {
  "Content-Length: 3\r\n\r\nabc",
  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
  "\r\nabc",
};

/// Returns true if the response is refused in pieces of any size.
bool
IsRefused(const std::string& aText)
{
  bool refused = true;
  for (const std::size_t piece : { 1U, 7U, 4096U }) {
    refused = refused && ParseIn<ResponseParser>(aText, piece, true).mFailed;
  }
  return refused;
}

/// Returns true if the response is accepted in pieces of any size.
bool
IsAccepted(const std::string& aText)
{
  bool accepted = true;
  for (const std::size_t piece : { 1U, 7U, 4096U }) {
    accepted = accepted && ParseIn<ResponseParser>(aText, piece, true).mDone;
  }
  return accepted;
}

std::string
Join(std::initializer_list<std::string_view> aTexts)
{
  std::string joined;
  for (const std::string_view text : aTexts) {
    joined += text;
  }
  return joined;
}

} // namespace

// Guards against responses that are forwarded with a status that clients cannot
// read, and against waiting for the final response after one that is none: an
// upgrade is never requested.
TEST_CASE("a response with a status that cannot be forwarded is refused")
{
  for (const std::string& framing : kFramings) {
    CAPTURE(framing);
    for (const char* status : { "000", "001", "099", "101", "600", "999" }) {
      CAPTURE(status);
      CHECK(IsRefused("HTTP/1.1 " + std::string(status) + " OK\r\n" + framing));
    }
    CHECK(IsAccepted("HTTP/1.1 200 OK\r\n" + framing));
    CHECK(IsAccepted("HTTP/1.1 599 \r\n" + framing));
  }
  CHECK(
    !ParseIn<ResponseParser>("HTTP/1.1 103 Early Hints\r\n\r\n", 7).mFailed);
}

// Guards against header lines that another program reads in another way, so
// that it sees other headers or another body than this node.
TEST_CASE("a response with an invalid header line is refused")
{
  const std::string lines[] = {
    "X-A : 1\r\n",
    "X A: 1\r\n",
    "X\001A: 1\r\n",
    "X\177A: 1\r\n",
    std::string("X\0A: 1\r\n", 8),
    "X\tA: 1\r\n",
    ": 1\r\n",
    " X-A: 1\r\n",
    "X-A\r\n",
    "X-A: 1\r\n 2\r\n",
    "X-A: 1\r\n\t2\r\n",
    "X-A:\r\n 2\r\n",
    "X-A: 1\r\n \r\n",
    "X-A: a\001b\r\n",
    "X-A: a\177b\r\n",
    "X-A: a\nX-B: b\r\n",
    "X-A: a\rX-B: b\r\n",
    std::string("X-A: a\0b\r\n", 10),
  };
  for (const std::string& framing : kFramings) {
    CAPTURE(framing);
    for (const std::string& line : lines) {
      CAPTURE(line);
      CHECK(IsRefused(Join({ "HTTP/1.1 200 OK\r\n", line, framing })));
    }
    CHECK(IsAccepted("HTTP/1.1 200 OK\r\nX-A: a\tb\xc3\xa9 \r\nX-B:\r\n" +
                     framing));
  }
}

// Guards against a response whose coding this node does not know and passes on
// as the body, and against two statements about the end of a body.
TEST_CASE("a response with an ambiguous framing is refused")
{
  const std::string chunks = "\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const char* coding : { "gzip",
                              "identity",
                              "gzip, chunked",
                              "chunked, gzip",
                              "chunked, chunked",
                              "chunked;a=b",
                              "xchunked",
                              "chunked,",
                              "" }) {
    CAPTURE(coding);
    const std::string line =
      "Transfer-Encoding: " + std::string(coding) + "\r\n";
    CHECK(IsRefused(Join({ "HTTP/1.1 200 OK\r\n", line, chunks })));
    CHECK(IsRefused(Join({ "HTTP/1.1 200 OK\r\n", line, "\r\nabc" })));
    CHECK(IsRefused(
      Join({ "HTTP/1.1 200 OK\r\n", line, "Content-Length: 3\r\n\r\nabc" })));
    CHECK(IsRefused(
      Join({ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", line, "\r\nabc" })));
    CHECK(IsRefused(Join({ "HTTP/1.1 200 OK\r\n",
                           line,
                           "Transfer-Encoding: chunked\r\n",
                           chunks })));
  }
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const std::string& lines :
       { "Content-Length: 3\r\n" + chunked,
         chunked + "Content-Length: 3\r\n",
         chunked + chunked,
         std::string("Content-Length: 3\r\nContent-Length: 4\r\n"),
         std::string("Content-Length: 3, 4\r\n"),
         std::string("Content-Length: +3\r\n"),
         std::string("Content-Length: 3x\r\n"),
         std::string("Content-Length:\r\n") }) {
    CAPTURE(lines);
    CHECK(IsRefused(Join({ "HTTP/1.1 200 OK\r\n", lines, chunks })));
    CHECK(IsRefused(Join({ "HTTP/1.1 200 OK\r\n", lines, "\r\nabc" })));
  }
  // Chunks are unknown in HTTP/1.0.
  CHECK(IsRefused("HTTP/1.0 200 OK\r\n" + chunked + chunks));
  CHECK(
    IsAccepted("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n" + chunks));
  CHECK(IsAccepted("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                   "Content-Length: 3\r\n\r\nabc"));
}

// Guards against requests that another program in front of this node delimits
// in another way, so that a part of a body becomes a request of its own.
TEST_CASE("a request with an ambiguous framing is refused")
{
  const std::string begin = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunks = "\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const std::string& lines :
       { std::string("Transfer-Encoding: gzip\r\n"),
         std::string("Transfer-Encoding: identity\r\n"),
         std::string("Transfer-Encoding: gzip, chunked\r\n"),
         std::string("Transfer-Encoding: chunked, chunked\r\n"),
         std::string("Transfer-Encoding: xchunked\r\n"),
         std::string("Transfer-Encoding:\r\n chunked\r\n"),
         std::string("Content-Length:\r\n 3\r\n"),
         std::string("Transfer-Encoding: gzip\r\nContent-Length: 3\r\n"),
         std::string("Content-Length: 3\r\nTransfer-Encoding: gzip\r\n"),
         std::string("Transfer-Encoding : chunked\r\n"),
         std::string("Content-Length : 3\r\n") }) {
    CAPTURE(lines);
    for (const std::size_t piece : { 1U, 7U, 4096U }) {
      CHECK(
        ParseIn<RequestParser>(Join({ begin, lines, chunks }), piece).mFailed);
    }
  }
  CHECK(ParseIn<RequestParser>("POST / HTTP/1.0\r\nTransfer-Encoding: chunked"
                               "\r\n" +
                                 chunks,
                               7)
          .mFailed);
  CHECK(
    ParseIn<RequestParser>(begin + "Transfer-Encoding: Chunked\r\n" + chunks, 7)
      .mDone);
}
