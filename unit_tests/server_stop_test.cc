#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "fescueramp/net/http_server.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* kResponseBody = "served";

/// Server that responds at once, and its clients. The event loop runs only in RunPending.
class StoppedServer {
 public:
  StoppedServer()
      : m_io(1), m_server(m_io.get_executor(), {}, [](std::shared_ptr<HttpExchange> exchange) {
          return Handle(std::move(exchange));
        }) {}

  /// Connects a client and sends a request, both unnoticed by the server.
  void ConnectAndRequest() {
    tcp::socket& client = m_clients.emplace_back(m_io);
    client.connect({asio::ip::address_v4::loopback(), m_server.Port()});
    asio::write(client, asio::buffer(kRequest));
    client.non_blocking(true);
  }

  /// Does what a node does when its port closes.
  void Stop() {
    m_server.Drain();
    m_server.Stop();
    m_server.CloseIdle();
  }

  /// Runs the event loop for about 20 ms.
  void RunPending() {
    for (int i = 0; i < 20; ++i) m_io.run_for(std::chrono::milliseconds(1));
    m_io.restart();
  }

  /// What a client has received so far.
  std::string Received(std::size_t client) {
    std::string received(1000, '\0');
    boost::system::error_code ec;
    received.resize(m_clients[client].read_some(asio::buffer(received), ec));
    return received;
  }

  HttpServer& Server() { return m_server; }

 private:
  static asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange) {
    std::vector<HeaderField> none;
    co_await exchange->Send(200, std::move(none), kResponseBody);
  }

  asio::io_context m_io;
  HttpServer m_server;
  std::deque<tcp::socket> m_clients;
};

/// Connections that the system has established when the port closes.
struct WaitingConnections {
  const char* m_name;
  bool m_accepting;  ///< Whether the server already waits for connections.
  std::size_t m_count;
};

std::ostream& operator<<(std::ostream& out, const WaitingConnections& row) { return out << row.m_name; }

const WaitingConnections kWaitingConnections[] = {
    {"one, before the server accepts", false, 1},
    {"one", true, 1},
    {"several, before the server accepts", false, 20},
    {"several", true, 20},
};

BOOST_AUTO_TEST_SUITE(server_stop)

BOOST_DATA_TEST_CASE(RequestsOnConnectionsThatWaitToBeAcceptedAreServed,
                     boost::unit_test::data::make(kWaitingConnections), row) {
  StoppedServer server;
  if (row.m_accepting) server.RunPending();
  for (std::size_t i = 0; i < row.m_count; ++i) server.ConnectAndRequest();
  server.Stop();
  // Else the process could end before it has read the requests.
  BOOST_TEST(server.Server().Connections() == row.m_count);
  server.RunPending();
  for (std::size_t i = 0; i < row.m_count; ++i) {
    const std::string received = server.Received(i);
    BOOST_TEST(received.find(kResponseBody) != std::string::npos);
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
