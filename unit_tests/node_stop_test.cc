#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "fescueramp/daemon/node_daemon.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kStatusLineStart = "HTTP/1.1 ";
constexpr int kRequests = 200;            ///< Their responses fit the node's send buffer, not the client's.
constexpr int kClientBufferBytes = 4096;  ///< Receive buffer of the client.
constexpr std::int64_t kRefusedPort = 1;  ///< Port of the store, which is away.

std::uint16_t FreePort() {
  asio::io_context io;
  return tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

/// A node without a store, which refuses every request, and one client that reads only when told to.
class StoppingNode {
 public:
  StoppingNode() : m_client(m_client_io) {
    m_settings.m_node = "n0";
    m_settings.m_zone = "az0";
    m_settings.m_caller_port = FreePort();
    m_settings.m_platform.m_address = "127.0.0.1";
    m_settings.m_platform.m_port = kRefusedPort;
    m_settings.m_link_keys = {"0123456789abcdef"};
    m_settings.m_receipt_keys = {"0123456789abcdef"};
    m_settings.m_leave_notice_ms = 0;
    m_io = std::make_unique<asio::io_context>(1);
    m_node = std::make_unique<NodeDaemon>(*m_io, m_settings, "", nullptr);
    m_client.open(tcp::v4());
    m_client.set_option(asio::socket_base::receive_buffer_size(kClientBufferBytes));
    m_client.connect(
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(m_settings.m_caller_port)});
    m_client.non_blocking(true);
  }

  /// Runs the node for a time. When it has ended, its sockets close like those of a process that has ended.
  void Run(milliseconds span) {
    if (!m_io) return;
    m_io->run_for(span);
    if (!m_io->stopped()) return;
    m_node.reset();
    m_io.reset();
  }

  /// Runs the node until it has dealt with everything that has arrived.
  void RunReady() {
    while (m_io->poll() > 0) {
    }
  }

  void Shutdown() { m_node->Shutdown(); }

  void Send(const std::string& bytes) {
    boost::system::error_code ec;
    asio::write(m_client, asio::buffer(bytes), ec);
  }

  /// Sends bytes as far as the node takes them, and runs the node for one step.
  void SendAndStep(const std::string& bytes) {
    boost::system::error_code ec;
    m_client.write_some(asio::buffer(bytes), ec);
    m_io->run_one_for(milliseconds(1));
    Run(milliseconds(0));
  }

  bool Ended() const { return !m_io; }

  /// Reads to the end of the connection, while the node runs.
  std::string ReceivedToTheEnd() {
    std::string all;
    boost::system::error_code ec;
    while (!ec || ec == asio::error::would_block) {
      std::string part(kClientBufferBytes, '\0');
      part.resize(m_client.read_some(asio::buffer(part), ec));
      all += part;
      Run(milliseconds(1));
    }
    return all;
  }

 private:
  Settings m_settings;
  std::unique_ptr<asio::io_context> m_io;
  std::unique_ptr<NodeDaemon> m_node;
  asio::io_context m_client_io;
  tcp::socket m_client;
};

int CountResponses(const std::string& received) {
  int responses = 0;
  for (auto at = received.find(kStatusLineStart); at != std::string::npos;
       at = received.find(kStatusLineStart, at + 1)) {
    ++responses;
  }
  return responses;
}

/// What happens while a node stops and a client doesn't read.
struct StopOfANode {
  const char* m_name;
  milliseconds m_pause;        ///< How long the client doesn't read.
  std::vector<int> m_signals;  ///< Signals to the node.
};

std::ostream& operator<<(std::ostream& out, const StopOfANode& row) { return out << row.m_name; }

const StopOfANode kStops[] = {
    {"short pause", milliseconds(200), {}},
    {"long pause", milliseconds(3700), {}},
    {"stopped again", milliseconds(200), {SIGTERM, SIGINT, SIGTERM}},
    {"settings read again", milliseconds(200), {SIGHUP}},
    {"stopped and settings read again", milliseconds(3700), {SIGTERM, SIGHUP, SIGTERM}},
};

BOOST_AUTO_TEST_SUITE(node_stop)

BOOST_DATA_TEST_CASE(NodeEndsOnlyWhenASlowReaderHasItsResponses, boost::unit_test::data::make(kStops), row) {
  StoppingNode node;
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += kRequest;
  node.Send(requests);
  node.RunReady();
  node.Shutdown();
  for (const int signal : row.m_signals) {
    std::raise(signal);
    node.Run(milliseconds(1));
  }
  node.Run(row.m_pause);
  node.Send(kRequest);
  node.Run(milliseconds(20));
  BOOST_TEST(CountResponses(node.ReceivedToTheEnd()) == kRequests);
}

BOOST_AUTO_TEST_CASE(NodeEndsAlthoughARefusedClientGoesOnSending) {
  StoppingNode node;
  node.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000000\r\n\r\n");
  node.Run(milliseconds(20));
  node.Shutdown();
  const std::string more(65536, 'x');
  const auto grace_end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!node.Ended() && std::chrono::steady_clock::now() < grace_end) node.SendAndStep(more);
  BOOST_TEST(node.Ended());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
