#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/net/http_client.h"
#include "fescueramp/net/http_server.h"
#include "unit_tests/raw_client.h"

namespace fescueramp {
namespace {

/// Target after whose response the server closes the connection without announcing it.
constexpr const char* kCloseAfterResponse = "/then-close";

/// Server on loopback that echoes every request body and records the request heads.
class EchoServer {
 public:
  EchoServer()
      : m_io(1), m_server(m_io.get_executor(), Settings(), [this](std::shared_ptr<HttpExchange> exchange) {
          return Echo(std::move(exchange));
        }) {}

  /// Sends bytes, shuts down sending and returns everything received.
  std::string Send(const std::string& bytes) {
    std::string response;
    asio::co_spawn(m_io, SendRaw(bytes, response), asio::detached);
    Run();
    return response;
  }

  /// Runs a coroutine to completion.
  void Await(asio::awaitable<void> work) {
    asio::co_spawn(m_io, std::move(work), [this](std::exception_ptr error) {
      m_done = true;
      if (error) std::rethrow_exception(error);
    });
    Run();
  }

  asio::io_context& Io() { return m_io; }
  std::uint16_t Port() const { return m_server.Port(); }
  const std::vector<RequestHead>& Requests() const { return m_requests; }

 private:
  static HttpServerSettings Settings() {
    HttpServerSettings settings;
    settings.m_malformed_request_body = [](const std::string& problem) { return "malformed: " + problem; };
    return settings;
  }

  void Run() {
    m_done = false;
    while (!m_done) m_io.run_one();
  }

  asio::awaitable<void> Echo(std::shared_ptr<HttpExchange> exchange) {
    m_requests.push_back(exchange->Head());
    std::string body = co_await ReadWholeBody(*exchange);
    std::vector<HeaderField> none;
    const bool close_after_response = exchange->Head().m_target == kCloseAfterResponse;
    co_await exchange->Send(200, std::move(none), std::move(body));
    if (close_after_response) exchange->Abort();
  }

  asio::awaitable<void> SendRaw(std::string bytes, std::string& response) {
    response = co_await ExchangeBytes(Port(), std::move(bytes));
    m_done = true;
  }

  asio::io_context m_io;
  bool m_done = false;
  std::vector<RequestHead> m_requests;
  HttpServer m_server;
};

/// Bytes that must be accepted as exactly one request, or refused.
struct RawRequest {
  const char* m_name;
  std::string m_bytes;
  bool m_accepted;
};

std::ostream& operator<<(std::ostream& out, const RawRequest& row) { return out << row.m_name; }

const RawRequest kRawRequests[] = {
    {"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
    {"with a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", true},
    {"chunked", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     true},
    {"both framings",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
    {"both framings, other order",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", false},
    {"two lengths that differ",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false},
    {"two equal lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
     false},
    {"list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", false},
    {"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", false},
    {"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", false},
    {"unknown transfer coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc", false},
    {"chunked twice", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
     false},
    {"chunked not last", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
     false},
    {"bare line feeds", "GET / HTTP/1.1\nHost: a\n\n", false},
    {"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", false},
    {"folded field", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", true},
    {"no host", "GET / HTTP/1.1\r\n\r\n", false},
    {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", false},
    {"control character", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01z\r\n\r\n", false},
    {"no version", "GET /\r\nHost: a\r\n\r\n", false},
    {"HTTP/2.0 in the request line", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", false},
    {"absolute target", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"target without a slash", "GET status HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"CONNECT with a path", "CONNECT /a HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", false},
    {"half a header", "GET / HTTP/1.1\r\nHost:", false},
    {"half a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", false},
    {"wrong chunk size",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", false},
    {"bytes of TLS", "\x16\x03\x01\x02", false},
};

BOOST_AUTO_TEST_SUITE(http)

BOOST_DATA_TEST_CASE(OnlyUnambiguousRequestsAreAccepted, boost::unit_test::data::make(kRawRequests), row) {
  EchoServer server;
  const std::string response = server.Send(row.m_bytes);
  BOOST_TEST(response.starts_with("HTTP/1.1 200") == row.m_accepted, response.substr(0, 60));
  // Remaining bytes must not be parsed as a second request.
  BOOST_TEST(server.Requests().size() <= 1U);
}

/// RFC 9112, section 5.2: a folded field is refused or forwarded as one line.
BOOST_AUTO_TEST_CASE(FoldedFieldIsForwardedAsOneLine) {
  EchoServer server;
  server.Send("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 5\r\n\r\n");
  BOOST_REQUIRE(server.Requests().size() == 1U);
  BOOST_TEST(server.Requests()[0].m_headers.size() == 2U);
  BOOST_TEST(FindHeader(server.Requests()[0].m_headers, "x") == "b Content-Length: 5");
}

BOOST_AUTO_TEST_CASE(TwoRequestsOnOneConnectionGetResponsesInOrder) {
  EchoServer server;
  const std::string one = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
  const std::string two = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo";
  const std::string response = server.Send(one + two);
  const auto first = response.find("one");
  BOOST_REQUIRE(first != std::string::npos);
  BOOST_TEST(response.find("two", first) != std::string::npos);
}

BOOST_DATA_TEST_CASE(MutatedRequestsNeverBreakTheServer, boost::unit_test::data::xrange(1, 31), seed) {
  boost::random::mt19937 random(static_cast<std::uint32_t>(seed));
  const auto random_up_to = [&](std::size_t to) {
    return boost::random::uniform_int_distribution<std::size_t>(0, to)(random);
  };
  EchoServer server;
  for (int round = 0; round < 20; ++round) {
    std::string bytes = kRawRequests[random_up_to(std::size(kRawRequests) - 1)].m_bytes;
    for (std::size_t change = random_up_to(4); change > 0; --change) {
      const std::size_t at = random_up_to(bytes.size() - 1);
      if (random_up_to(1) == 0)
        bytes[at] = static_cast<char>(random_up_to(255));
      else
        bytes.insert(at, 1, "\r\n: ,;0"[random_up_to(6)]);
    }
    server.Send(bytes);
  }
  BOOST_TEST(server.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(LargeBodyIsEchoedUnchanged) {
  EchoServer server;
  std::string body(8 * 1024 * 1024, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>(i * 31 + i / 4096);
  std::string response;
  const auto exchange = [&]() -> asio::awaitable<void> {
    HttpConnection connection(server.Io().get_executor(), "127.0.0.1", server.Port());
    RequestHead head;
    head.m_method = "POST";
    head.m_target = "/";
    const HttpResponse result = co_await connection.Request(std::move(head), body, std::chrono::seconds(60));
    response = result.m_body;
  };
  server.Await(exchange());
  BOOST_TEST((response == body));
}

BOOST_AUTO_TEST_CASE(IdleConnectionDetectsCloseByServer) {
  EchoServer server;
  bool open_after_response = false;
  bool open_after_close = true;
  const auto exchange = [&]() -> asio::awaitable<void> {
    HttpConnection connection(server.Io().get_executor(), "127.0.0.1", server.Port());
    RequestHead head;
    head.m_method = "GET";
    head.m_target = "/";
    co_await connection.Request(head, {}, std::chrono::seconds(60));
    open_after_response = connection.StillOpen();
    head.m_target = kCloseAfterResponse;
    co_await connection.Request(head, {}, std::chrono::seconds(60));
    for (int i = 0; i < 2000 && connection.StillOpen(); ++i) co_await Sleep(std::chrono::milliseconds(1));
    open_after_close = connection.StillOpen();
  };
  server.Await(exchange());
  BOOST_TEST(open_after_response);
  BOOST_TEST(!open_after_close);
}

BOOST_AUTO_TEST_CASE(HopByHopAndReservedFieldsAreStripped) {
  for (const char* name :
       {"Connection", "keep-alive", "TE", "Upgrade", "Fescue-Request-Id", "FESCUE-anything"}) {
    BOOST_TEST(IsStrippedHeader(name), name);
  }
  for (const char* name : {"Accept", "Idempotency-Key", "X-Api-Key"})
    BOOST_TEST(!IsStrippedHeader(name), name);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
