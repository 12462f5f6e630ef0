#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/net/http_server.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

const std::string kFirstTarget = "/first";
const std::string kFirstBody = "body of the first response";
const std::string kEndOfHead = " HTTP/1.1\r\nHost: a\r\n";
const std::string kGivenUp = "/given-up";  ///< Target whose handler ends without a response.

/// A server whose first request runs until the test releases it. Others are answered when their body has been
/// read.
class BusyServer {
 public:
  BusyServer()
      : m_io(1),
        m_released(m_io.get_executor()),
        m_server(m_io.get_executor(), Settings(),
                 [this](std::shared_ptr<HttpExchange> exchange) { return Handle(std::move(exchange)); }),
        m_client(m_io) {
    m_client.connect({asio::ip::address_v4::loopback(), m_server.Port()});
    m_client.non_blocking(true);
  }

  void Send(const std::string& bytes) { asio::write(m_client, asio::buffer(bytes)); }

  void Run(std::chrono::milliseconds span) {
    m_io.run_for(span);
    m_io.restart();
  }

  /// Lets the first request end.
  void Release() {
    m_first_released = true;
    m_released.Notify();
  }

  /// Reads to the end of the connection, while the event loop runs.
  std::string ReceivedToTheEnd() {
    std::string all;
    boost::system::error_code ec;
    while (!ec || ec == asio::error::would_block) {
      std::string part(1000, '\0');
      part.resize(m_client.read_some(asio::buffer(part), ec));
      all += part;
      if (ec == asio::error::would_block) Run(std::chrono::milliseconds(1));
    }
    return all;
  }

  bool FirstCancelled() const { return m_first_cancelled; }

 private:
  static HttpServerSettings Settings() {
    HttpServerSettings settings;
    settings.m_header_timeout = std::chrono::milliseconds(100);
    settings.m_body_timeout = std::chrono::seconds(1);
    return settings;
  }

  asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange) {
    const std::string target = exchange->Head().m_target;
    std::vector<HeaderField> none;
    if (target == kFirstTarget) {
      exchange->WatchForClose([this] { m_first_cancelled = true; });
      while (!m_first_released) co_await m_released.Wait();
      co_return co_await exchange->Send(200, std::move(none), kFirstBody);
    }
    if (target == kGivenUp) co_return exchange->Abort();
    co_await ReadWholeBody(*exchange);
    co_await exchange->Send(200, std::move(none), "body of a later response");
  }

  asio::io_context m_io;
  AsyncCondition m_released;
  bool m_first_released = false;
  bool m_first_cancelled = false;
  HttpServer m_server;
  tcp::socket m_client;
};

/// A request that fails behind one that runs.
struct FailingRequest {
  const char* m_name;
  std::string m_bytes;
  bool m_last_known = false;  ///< Whether the first response is known to be the last when it begins.
};

std::ostream& operator<<(std::ostream& out, const FailingRequest& row) { return out << row.m_name; }

const FailingRequest kFailingRequests[] = {
    {"half a head", "GET /later HT", true},
    {"half a body", "POST /later" + kEndOfHead + "Content-Length: 10\r\n\r\nabc"},
    {"half a chunked body", "POST /later" + kEndOfHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nab"},
    {"a malformed head", "GET /later" + kEndOfHead + "Content-Length: x\r\n\r\n"},
    {"a malformed chunk", "POST /later" + kEndOfHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"},
    {"given up", "GET " + kGivenUp + kEndOfHead + "\r\n"},
    {"given up, another behind", "GET " + kGivenUp + kEndOfHead + "\r\nGET /later" + kEndOfHead + "\r\n"},
    {"given up, half a head behind", "GET " + kGivenUp + kEndOfHead + "\r\nGET /later HT"},
};

BOOST_AUTO_TEST_SUITE(later_request)

BOOST_DATA_TEST_CASE(FailureOfALaterRequestLeavesEarlierOnesRunning,
                     boost::unit_test::data::make(kFailingRequests), row) {
  BusyServer server;
  server.Send("GET " + kFirstTarget + kEndOfHead + "\r\n");
  server.Send(row.m_bytes);
  // Longer than the timeouts of head and body.
  server.Run(std::chrono::milliseconds(1300));
  BOOST_TEST(!server.FirstCancelled());
  server.Release();
  const std::string received = server.ReceivedToTheEnd();
  BOOST_TEST(received.starts_with("HTTP/1.1 200"), received);
  BOOST_TEST(received.find(kFirstBody) != std::string::npos, received);
  if (row.m_last_known) BOOST_TEST(received.find("Connection: close") < received.find(kFirstBody), received);
  BOOST_TEST(received.find("body of a later response") == std::string::npos, received);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
