#include "fescueramp/net/response_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/net/endpoint_connection_pool.h"
#include "platform/platform_dialect.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

/// An endpoint on loopback that reads one request and then writes bytes of its own choice.
class RawEndpoint {
 public:
  /// @param first Bytes after the request.
  /// @param rest Bytes that follow again and again until the peer closes; none when empty.
  RawEndpoint(std::string first, std::string rest)
      : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_first(std::move(first)),
        m_rest(std::move(rest)) {
    asio::co_spawn(m_io, Serve(), asio::detached);
  }

  /// Runs a coroutine of the client to its end.
  void Await(asio::awaitable<void> work) {
    bool done = false;
    asio::co_spawn(m_io, std::move(work), [&](std::exception_ptr error) {
      done = true;
      if (error) std::rethrow_exception(error);
    });
    while (!done) m_io.run_one();
  }

  asio::io_context& Io() { return m_io; }
  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

 private:
  asio::awaitable<void> Serve() {
    boost::system::error_code ec;
    tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
    std::string request(4096, '\0');
    co_await socket.async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, ec));
    co_await asio::async_write(socket, asio::buffer(m_first), asio::redirect_error(asio::use_awaitable, ec));
    while (!ec && !m_rest.empty()) {
      co_await asio::async_write(socket, asio::buffer(m_rest), asio::redirect_error(asio::use_awaitable, ec));
    }
    // Without an end of its own the connection stays open.
    while (!ec) {
      co_await socket.async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::string m_first;
  std::string m_rest;
};

/// What an attempt read.
struct ReadResult {
  ResponseInfo m_reading;
  std::string m_body;
  bool m_failed = false;
  bool m_timed_out = false;
};

ReadResult ReadFrom(RawEndpoint& endpoint, Duration time) {
  ReadResult result;
  const SteadyWallClock clock;
  const platform::PlatformDialect dialect;
  HttpConnection connection(endpoint.Io().get_executor(), "127.0.0.1", endpoint.Port());
  const auto work = [&]() -> asio::awaitable<void> {
    const std::chrono::milliseconds timeout(1000);
    RequestHead head;
    head.m_method = "GET";
    head.m_target = "/";
    head.m_content_length = 0;
    try {
      co_await connection.Connect(timeout);
      co_await connection.SendHead(head, timeout);
      AttemptMetadata terms;
      terms.m_caller_id = "mine";
      ResponseReader reader(connection, dialect, clock, terms, {clock.Now() + time, std::chrono::hours(1)});
      ResponseHead answer;
      result.m_reading = co_await reader.ReadHead(answer);
      for (std::string part = co_await reader.ReadBody(); !part.empty(); part = co_await reader.ReadBody()) {
        if (result.m_body.size() < 100) result.m_body += part;
      }
    } catch (const HttpError&) {
      result.m_failed = true;
      result.m_timed_out = connection.TimedOut();
    }
  };
  endpoint.Await(work());
  return result;
}

const std::string kOwn =
    "HTTP/1.1 200 OK\r\nX-Fescueramp-Request-Id: mine\r\nX-Fescueramp-Response-Seal: s\r\n";
const std::string kOther =
    "HTTP/1.1 200 OK\r\nX-Fescueramp-Request-Id: other\r\nX-Fescueramp-Response-Seal: s\r\n";
const std::string kChunk = "400\r\n" + std::string(1024, 'x') + "\r\n";

BOOST_AUTO_TEST_SUITE(answer_reader)

/// Bytes that never become an answer.
struct EndlessBytes {
  const char* m_name;
  std::string m_first;
  std::string m_rest;
  bool m_timed_out;  ///< Whether the deadline ends it; otherwise its size does.
};

std::ostream& operator<<(std::ostream& out, const EndlessBytes& row) { return out << row.m_name; }

const EndlessBytes kEndless[] = {
    {"status line", "HTTP/1.1 200 ", std::string(4096, 'x'), false},
    {"header fields", kOwn, "X-More: " + std::string(1024, 'x') + "\r\n", false},
    {"one header field", kOwn + "X-More: ", std::string(4096, 'x'), false},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
    {"no HTTP at all", "", std::string(4096, '\x01'), false},
    {"body without a length", kOwn + "\r\n", std::string(4096, 'x'), true},
    {"chunks", kOwn + "Transfer-Encoding: chunked\r\n\r\n", kChunk, true},
    {"chunk extension", kOwn + "Transfer-Encoding: chunked\r\n\r\n400;", std::string(4096, 'x'), false},
    {"trailers", kOwn + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: " + std::string(1024, 'x') + "\r\n", false},
    {"body of another request", kOther + "\r\n", std::string(4096, 'x'), false},
    {"answers of other requests", "", kOther + "Content-Length: 0\r\n\r\n", false},
};

BOOST_DATA_TEST_CASE(BytesWithoutEndEnd, boost::unit_test::data::make(kEndless), row) {
  RawEndpoint endpoint(row.m_first, row.m_rest);
  const ReadResult result = ReadFrom(endpoint, std::chrono::milliseconds(row.m_timed_out ? 200 : 20'000));
  BOOST_TEST(result.m_failed);
  BOOST_TEST(result.m_timed_out == row.m_timed_out);
}

/// Answers before the one that is waited for.
struct MixedAnswers {
  const char* m_name;
  std::string m_bytes;
  ResponseKind m_kind;
  std::string m_body;
};

std::ostream& operator<<(std::ostream& out, const MixedAnswers& row) { return out << row.m_name; }

const MixedAnswers kMixed[] = {
    {"its own", kOwn + "Content-Length: 2\r\n\r\nme", ResponseKind::kCompleted, "me"},
    {"a late copy of another one first",
     kOther + "Content-Length: 5\r\n\r\nother" + kOwn + "Content-Length: 2\r\n\r\nme",
     ResponseKind::kCompleted, "me"},
    {"an interim answer first", "HTTP/1.1 102 Processing\r\n\r\n" + kOwn + "Content-Length: 2\r\n\r\nme",
     ResponseKind::kCompleted, "me"},
    {"one that names no request",
     "HTTP/1.1 200 OK\r\nX-Fescueramp-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno",
     ResponseKind::kInvalid, "no"},
    {"a refusal that names no request",
     "HTTP/1.1 503 No\r\nX-Fescueramp-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", ResponseKind::kInvalid,
     ""},
};

BOOST_DATA_TEST_CASE(OnlyItsOwnAnswerIsTaken, boost::unit_test::data::make(kMixed), row) {
  RawEndpoint endpoint(row.m_bytes, "");
  const ReadResult result = ReadFrom(endpoint, std::chrono::seconds(20));
  BOOST_TEST(!result.m_failed);
  BOOST_TEST((result.m_reading.m_kind == row.m_kind));
  BOOST_TEST(result.m_body == row.m_body);
}

BOOST_AUTO_TEST_CASE(RequestDoesNotReturnToAConnectionThatCarriedIt) {
  // A second copy of the refusal of its first attempt would be taken for the answer of its second.
  RawEndpoint endpoint(kOwn + "Content-Length: 0\r\n\r\n", "");
  EndpointConnectionPool pool(endpoint.Io().get_executor());
  const auto hour = std::chrono::hours(1);
  const auto work = [&]() -> asio::awaitable<void> {
    auto connection = pool.Take("127.0.0.1", endpoint.Port(), "mine", false, hour);
    RequestHead head;
    head.m_method = "GET";
    head.m_target = "/";
    co_await connection->m_connection.Request(head, {}, std::chrono::seconds(20));
    pool.Return("127.0.0.1", endpoint.Port(), connection, std::chrono::milliseconds(0));
  };
  endpoint.Await(work());
  BOOST_TEST(!pool.Take("127.0.0.1", endpoint.Port(), "mine", false, hour)->m_reused);
  BOOST_TEST(pool.Take("127.0.0.1", endpoint.Port(), "other", false, hour)->m_reused);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
