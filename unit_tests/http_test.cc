#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/net/http_client.h"
#include "fescueramp/net/http_server.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

/// Target after whose answer the server closes the connection without having said so.
constexpr const char* kThenClose = "/then-close";

/// A server on loopback that answers every request with its body, and counts them.
class EchoServer {
 public:
  EchoServer()
      : m_io(1), m_server(m_io.get_executor(), Settings(), [this](std::shared_ptr<HttpExchange> exchange) {
          return Echo(std::move(exchange));
        }) {}

  /// Sends bytes, ends sending and returns all that comes back.
  std::string Send(const std::string& bytes) {
    std::string answer;
    asio::co_spawn(m_io, Talk(bytes, answer), asio::detached);
    Run();
    return answer;
  }

  /// Runs one coroutine to its end.
  void Await(asio::awaitable<void> work) {
    asio::co_spawn(m_io, std::move(work), [this](std::exception_ptr error) {
      m_done = true;
      if (error) std::rethrow_exception(error);
    });
    Run();
  }

  asio::io_context& Io() { return m_io; }
  std::uint16_t Port() const { return m_server.Port(); }
  const std::vector<RequestHead>& Handled() const { return m_handled; }

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
    m_handled.push_back(exchange->Head());
    std::string body = co_await ReadWholeBody(*exchange);
    std::vector<HeaderField> none;
    const bool then_close = exchange->Head().m_target == kThenClose;
    co_await exchange->Send(200, std::move(none), std::move(body));
    if (then_close) exchange->Abort();
  }

  asio::awaitable<void> Talk(std::string bytes, std::string& answer) {
    tcp::socket socket(m_io);
    boost::system::error_code ec;
    const tcp::endpoint server(asio::ip::address_v4::loopback(), Port());
    co_await socket.async_connect(server, asio::redirect_error(asio::use_awaitable, ec));
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    socket.shutdown(tcp::socket::shutdown_send, ec);
    co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                              asio::redirect_error(asio::use_awaitable, ec));
    m_done = true;
  }

  asio::io_context m_io;
  bool m_done = false;
  std::vector<RequestHead> m_handled;
  HttpServer m_server;
};

/// Bytes that must not be taken for a request, or must be taken for exactly one.
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
    {"two lengths alike", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
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
    {"version 2 in words", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", false},
    {"absolute target", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"target without a slash", "GET status HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", false},
    {"half a header", "GET / HTTP/1.1\r\nHost:", false},
    {"half a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", false},
    {"wrong chunk size",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", false},
    {"bytes of TLS", "\x16\x03\x01\x02", false},
};

BOOST_AUTO_TEST_SUITE(http)

BOOST_DATA_TEST_CASE(OnlyUnambiguousRequestsAreAnswered, boost::unit_test::data::make(kRawRequests), row) {
  EchoServer server;
  const std::string answer = server.Send(row.m_bytes);
  BOOST_TEST(answer.starts_with("HTTP/1.1 200") == row.m_accepted, answer.substr(0, 60));
  // Nothing that is left over may be taken for a second request.
  BOOST_TEST(server.Handled().size() <= 1U);
}

/// RFC 9112, 5.2: a folded field is refused or passed on as one line.
BOOST_AUTO_TEST_CASE(FoldedFieldIsPassedOnAsOneLine) {
  EchoServer server;
  server.Send("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 5\r\n\r\n");
  BOOST_REQUIRE(server.Handled().size() == 1U);
  BOOST_TEST(server.Handled()[0].m_headers.size() == 2U);
  BOOST_TEST(FindHeader(server.Handled()[0].m_headers, "x") == "b Content-Length: 5");
}

BOOST_AUTO_TEST_CASE(TwoRequestsOnOneConnectionAreAnsweredInOrder) {
  EchoServer server;
  const std::string one = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
  const std::string two = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo";
  const std::string answer = server.Send(one + two);
  const auto first = answer.find("one");
  BOOST_REQUIRE(first != std::string::npos);
  BOOST_TEST(answer.find("two", first) != std::string::npos);
}

BOOST_DATA_TEST_CASE(MutatedRequestsNeverBreakTheServer, boost::unit_test::data::xrange(1, 31), seed) {
  boost::random::mt19937 random(static_cast<std::uint32_t>(seed));
  const auto any = [&](std::size_t to) {
    return boost::random::uniform_int_distribution<std::size_t>(0, to)(random);
  };
  EchoServer server;
  for (int round = 0; round < 20; ++round) {
    std::string bytes = kRawRequests[any(std::size(kRawRequests) - 1)].m_bytes;
    for (std::size_t change = any(4); change > 0; --change) {
      const std::size_t at = any(bytes.size() - 1);
      if (any(1) == 0)
        bytes[at] = static_cast<char>(any(255));
      else
        bytes.insert(at, 1, "\r\n: ,;0"[any(6)]);
    }
    server.Send(bytes);
  }
  BOOST_TEST(server.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(LongBodyComesBackEqual) {
  EchoServer server;
  std::string body(8 * 1024 * 1024, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>(i * 31 + i / 4096);
  std::string answer;
  const auto exchange = [&]() -> asio::awaitable<void> {
    HttpConnection connection(server.Io().get_executor(), "127.0.0.1", server.Port());
    RequestHead head;
    head.m_method = "POST";
    head.m_target = "/";
    const HttpResponse result = co_await connection.Request(std::move(head), body, std::chrono::seconds(60));
    answer = result.m_body;
  };
  server.Await(exchange());
  BOOST_TEST((answer == body));
}

BOOST_AUTO_TEST_CASE(ConnectionClosedByTheServerIsNoticedWhileIdle) {
  EchoServer server;
  bool open_after_answer = false;
  bool open_after_close = true;
  const auto exchange = [&]() -> asio::awaitable<void> {
    HttpConnection connection(server.Io().get_executor(), "127.0.0.1", server.Port());
    RequestHead head;
    head.m_method = "GET";
    head.m_target = "/";
    co_await connection.Request(head, {}, std::chrono::seconds(60));
    open_after_answer = connection.StillOpen();
    head.m_target = kThenClose;
    co_await connection.Request(head, {}, std::chrono::seconds(60));
    for (int i = 0; i < 2000 && connection.StillOpen(); ++i) co_await Sleep(std::chrono::milliseconds(1));
    open_after_close = connection.StillOpen();
  };
  server.Await(exchange());
  BOOST_TEST(open_after_answer);
  BOOST_TEST(!open_after_close);
}

BOOST_AUTO_TEST_CASE(HopByHopAndOwnFieldsAreStripped) {
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
