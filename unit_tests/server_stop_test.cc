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
const std::string kLongRequest = "GET /long HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t kLongBodyBytes = 300'000;  ///< Fits the server's send buffer, not a slow client's.
constexpr int kSlowClientBufferBytes = 4096;
/// Longer than the server waits for a client that has the last response.
constexpr std::chrono::milliseconds kPause{700};

/// Server that responds at once, and its clients. The event loop runs only in the functions that say so.
class StoppedServer {
 public:
  StoppedServer()
      : m_io(1), m_server(m_io.get_executor(), {}, [](std::shared_ptr<HttpExchange> exchange) {
          return Handle(std::move(exchange));
        }) {}

  /// Connects a client and sends bytes, both unnoticed by the server.
  void ConnectAndSend(const std::string& bytes) {
    tcp::socket& client = m_clients.emplace_back(m_io);
    client.open(tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(kSlowClientBufferBytes));
    client.connect({asio::ip::address_v4::loopback(), m_server.Port()});
    client.non_blocking(true);
    Send(bytes);
  }

  /// Sends bytes from the last client, unnoticed by the server.
  void Send(const std::string& bytes) { asio::write(m_clients.back(), asio::buffer(bytes)); }

  /// Does what a node does when its port closes.
  void Stop() {
    m_server.Drain();
    m_server.Stop();
    m_server.StopAccepting();
  }

  /// Runs the event loop for a time.
  void Run(std::chrono::milliseconds span) {
    m_io.run_for(span);
    m_io.restart();
  }

  /// Runs the event loop for about 20 ms.
  void RunPending() {
    for (int i = 0; i < 20; ++i) Run(std::chrono::milliseconds(1));
  }

  /// What a client has received so far.
  std::string Received(std::size_t client) {
    std::string received(1000, '\0');
    boost::system::error_code ec;
    received.resize(m_clients[client].read_some(asio::buffer(received), ec));
    return received;
  }

  /// Reads to the end of the last client's connection, while the event loop runs.
  /// @return What it received before the end, whether orderly or not.
  std::string ReceivedToTheEnd() {
    std::string all;
    boost::system::error_code ec;
    while (!ec || ec == asio::error::would_block) {
      std::string part(kSlowClientBufferBytes, '\0');
      part.resize(m_clients.back().read_some(asio::buffer(part), ec));
      all += part;
      if (ec == asio::error::would_block) Run(std::chrono::milliseconds(1));
    }
    return all;
  }

  void CloseClient() { m_clients.back().close(); }

  HttpServer& Server() { return m_server; }

 private:
  static asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange) {
    std::vector<HeaderField> none;
    std::string body = kResponseBody;
    co_await ReadWholeBody(*exchange);
    if (exchange->Head().m_target == "/long") body.resize(kLongBodyBytes, '.');
    co_await exchange->Send(200, std::move(none), std::move(body));
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

/// What happens between the writing of a long response and its reading by the client.
struct SlowReader {
  const char* m_name;
  bool m_drained;                     ///< Whether the response announces the close.
  std::string m_behind;               ///< Bytes sent behind the request.
  std::chrono::milliseconds m_pause;  ///< Pause before the server stops.
  bool m_stopped;                     ///< Whether the server stops.
  std::string m_late;                 ///< Bytes sent before the client reads.
};

std::ostream& operator<<(std::ostream& out, const SlowReader& row) { return out << row.m_name; }

const SlowReader kSlowReaders[] = {
    {"nothing further", true, "", kPause, false, ""},
    {"a request behind", true, kRequest, kPause, false, ""},
    {"a request after a pause", true, "", kPause, false, kRequest},
    {"requests behind and after a pause", true, kRequest, kPause, false, kRequest},
    {"the port closes, a request behind", true, kRequest, {}, true, ""},
    {"the port closes, then a request", true, "", {}, true, kRequest},
    {"closed as idle, then a request", false, "", {}, true, kRequest},
    {"closed as idle, a pause, then a request", false, "", kPause, true, kRequest},
};

/// What may close an idle connection.
enum class IdleClose { kStop, kIdleTimeout, kNewLimits };

/// A request of which a part has arrived when an idle connection would be closed.
struct PendingRequest {
  const char* m_name;
  IdleClose m_close;
  bool m_noticed;       ///< Whether the server has read the first part.
  std::string m_first;  ///< First part of the request.
  std::string m_rest;   ///< Rest of the request.
};

std::ostream& operator<<(std::ostream& out, const PendingRequest& row) { return out << row.m_name; }

const std::string kHalfHead = "GET / HTTP/1.1\r\nHo";
const std::string kRestOfHead = "st: a\r\n\r\n";
const std::string kHalfBody = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc";

const PendingRequest kPendingRequests[] = {
    {"stop, unread request", IdleClose::kStop, false, kRequest, ""},
    {"stop, unread half of a head", IdleClose::kStop, false, kHalfHead, kRestOfHead},
    {"stop, half of a head", IdleClose::kStop, true, kHalfHead, kRestOfHead},
    {"stop, half of a body", IdleClose::kStop, true, kHalfBody, "def"},
    {"idle timeout, unread request", IdleClose::kIdleTimeout, false, kRequest, ""},
    {"idle timeout, half of a head", IdleClose::kIdleTimeout, false, kHalfHead, kRestOfHead},
    {"idle timeout, half of a body", IdleClose::kIdleTimeout, false, kHalfBody, "def"},
    {"new limits, unread request", IdleClose::kNewLimits, false, kRequest, ""},
    {"new limits, half of a head", IdleClose::kNewLimits, true, kHalfHead, kRestOfHead},
    {"new limits, half of a body", IdleClose::kNewLimits, true, kHalfBody, "def"},
};

BOOST_AUTO_TEST_SUITE(server_stop)

BOOST_DATA_TEST_CASE(RequestsOnConnectionsThatWaitToBeAcceptedAreServed,
                     boost::unit_test::data::make(kWaitingConnections), row) {
  StoppedServer server;
  if (row.m_accepting) server.RunPending();
  for (std::size_t i = 0; i < row.m_count; ++i) server.ConnectAndSend(kRequest);
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

BOOST_DATA_TEST_CASE(WrittenResponseArrivesWholeAtASlowReader, boost::unit_test::data::make(kSlowReaders),
                     row) {
  StoppedServer server;
  if (row.m_drained) server.Server().Drain();
  server.ConnectAndSend(kLongRequest + row.m_behind);
  server.RunPending();
  server.Run(row.m_pause);
  if (row.m_stopped) server.Stop();
  server.RunPending();
  server.Send(row.m_late);
  server.RunPending();
  const std::string received = server.ReceivedToTheEnd();
  const auto body = received.find("\r\n\r\n");
  BOOST_REQUIRE(body != std::string::npos);
  BOOST_TEST(received.size() - body - 4 == kLongBodyBytes);
}

BOOST_DATA_TEST_CASE(ConnectionThatReadsARequestIsNotClosedAsIdle,
                     boost::unit_test::data::make(kPendingRequests), row) {
  StoppedServer server;
  HttpServerLimits short_limits;
  short_limits.m_idle_timeout = std::chrono::milliseconds(1);
  if (row.m_close == IdleClose::kIdleTimeout) server.Server().SetLimits(short_limits);
  server.ConnectAndSend(row.m_first);
  if (row.m_noticed) server.RunPending();
  if (row.m_close == IdleClose::kNewLimits) server.Server().SetLimits(short_limits);
  if (row.m_close == IdleClose::kStop) server.Stop();
  server.RunPending();
  server.Send(row.m_rest);
  BOOST_TEST(server.ReceivedToTheEnd().find(kResponseBody) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ServerIsUnfinishedUntilASlowReaderHasTheResponse) {
  // A process that ends before leaves the delivery to the system, which drops it when a request arrives.
  StoppedServer server;
  server.Server().Drain();
  server.ConnectAndSend(kLongRequest);
  server.RunPending();
  server.Stop();
  server.RunPending();
  BOOST_TEST(server.Server().Unfinished());
  server.ReceivedToTheEnd();
  server.CloseClient();
  server.RunPending();
  BOOST_TEST(!server.Server().Unfinished());
  BOOST_TEST(server.Server().Connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
