#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/net/http_server.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

/// Server whose handler waits until it is released or the client leaves, and one client.
class WaitingServer {
 public:
  WaitingServer()
      : m_io(1),
        m_released(m_io.get_executor()),
        m_server(m_io.get_executor(), Settings(),
                 [this](std::shared_ptr<HttpExchange> exchange) { return Handle(std::move(exchange)); }),
        m_client(m_io) {
    m_client.connect({asio::ip::address_v4::loopback(), m_server.Port()});
    m_client.non_blocking(true);
    RunPending();
  }

  void Send(const std::string& bytes) {
    asio::write(m_client, asio::buffer(bytes));
    RunPending();
  }

  void CloseClient() {
    m_client.close();
    RunPending();
  }

  /// Lets the handlers respond.
  void Release() {
    m_is_released = true;
    m_released.Notify();
    RunPending();
  }

  /// Runs the event loop until the connection has ended.
  std::string_view RunToTheEnd() {
    while (!m_summary) RunPending();
    return EnumName(m_summary->m_end);
  }

  /// What the client has received.
  std::string Received() {
    std::string received(10'000, '\0');
    boost::system::error_code ec;
    received.resize(m_client.read_some(asio::buffer(received), ec));
    return received;
  }

  HttpServer& Server() { return m_server; }
  int Leaves() const { return m_leaves; }

 private:
  HttpServerSettings Settings() {
    HttpServerSettings settings;
    settings.m_header_timeout = milliseconds(100);
    settings.m_connection_ended = [this](const ConnectionSummary& summary) { m_summary = summary; };
    return settings;
  }

  asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange) {
    if (exchange->Head().m_target == "/give-up") co_return exchange->Abort();
    if (exchange->Head().m_content_length > 0) co_await ReadWholeBody(*exchange);
    bool left = false;
    exchange->WatchForClose([this, &left] {
      left = true;
      ++m_leaves;
      m_released.Notify();
    });
    while (!m_is_released && !left) co_await m_released.Wait();
    if (left) co_return exchange->Abort();
    std::vector<HeaderField> none;
    co_await exchange->Send(200, std::move(none), "served");
  }

  /// Runs the event loop for about 20 ms.
  void RunPending() {
    for (int i = 0; i < 20; ++i) m_io.run_for(milliseconds(1));
    m_io.restart();
  }

  asio::io_context m_io;
  AsyncCondition m_released;
  bool m_is_released = false;
  int m_leaves = 0;
  std::optional<ConnectionSummary> m_summary;
  HttpServer m_server;
  tcp::socket m_client;
};

const std::string kGet = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kHalfABody = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
const std::string kGivenUp = "POST /give-up HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
const std::string kMalformed = "GET /2 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n";

/// What a client has sent behind a request in progress when it leaves.
struct LaterBytes {
  const char* m_name;
  std::string m_bytes;
};

std::ostream& operator<<(std::ostream& out, const LaterBytes& row) { return out << row.m_name; }

const LaterBytes kLaterBytes[] = {
    {"nothing", ""},
    {"half a head", "GET /2 HTTP/1.1\r\n"},
    {"half a body", kHalfABody},
    {"half a body of a request that is given up", kGivenUp},
    {"a malformed request", kMalformed},
};

BOOST_AUTO_TEST_SUITE(client_leaves)

BOOST_DATA_TEST_CASE(RequestInProgressLearnsThatItsClientHasLeft, boost::unit_test::data::make(kLaterBytes),
                     row) {
  WaitingServer server;
  server.Send(kGet);
  if (!row.m_bytes.empty()) server.Send(row.m_bytes);
  server.CloseClient();
  BOOST_TEST(server.Leaves() == 1);
  BOOST_TEST(server.RunToTheEnd() == "client_closed");
}

BOOST_AUTO_TEST_CASE(RefusalOfAMalformedRequestComesBeforeTheAnnouncedClose) {
  WaitingServer server;
  server.Send(kGet);
  server.Send(kMalformed);
  server.Server().Drain();
  server.Release();
  const std::string received = server.Received();
  const auto refusal = received.find("HTTP/1.1 400");
  BOOST_REQUIRE(refusal != std::string::npos);
  BOOST_TEST(received.find("served") < refusal);
  BOOST_TEST(received.find("Connection: close") > refusal);
}

BOOST_AUTO_TEST_CASE(ConnectionWithHalfAHeadEndsAsIdle) {
  WaitingServer server;
  server.Release();
  server.Send(kGet);
  server.Send("GET /2 HTTP/1.1\r\n");
  BOOST_TEST(server.RunToTheEnd() == "idle");
  BOOST_TEST(server.Received().find("Connection: close") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
