#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "fescueramp/daemon/node_daemon.h"
#include "fescueramp/daemon/wire.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kStatusLineStart = "HTTP/1.1 ";
constexpr int kRequests = 200;            ///< Their responses fit the node's send buffer, not the client's.
constexpr int kClientBufferBytes = 4096;  ///< Receive buffer of the client.
const std::string kLinkKey = "0123456789abcdef";
constexpr std::int64_t kRefusedPort = 1;  ///< Port of the store, which is away.

std::uint16_t FreePort() {
  asio::io_context io;
  return tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

/// A node without a store, which refuses every request.
class StoppingNode {
 public:
  StoppingNode() {
    m_settings.m_node = "n0";
    m_settings.m_zone = "az0";
    m_settings.m_caller_port = FreePort();
    m_settings.m_link_port = FreePort();
    m_settings.m_platform.m_address = "127.0.0.1";
    m_settings.m_platform.m_port = kRefusedPort;
    m_settings.m_link_keys = {kLinkKey};
    m_settings.m_receipt_keys = {"0123456789abcdef"};
    m_settings.m_leave_notice_ms = 0;
    m_io = std::make_unique<asio::io_context>(1);
    m_node = std::make_unique<NodeDaemon>(*m_io, m_settings, "", nullptr);
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

  /// Runs one step of the node, or waits for it for a short time.
  void Step() {
    m_io->run_one_for(milliseconds(1));
    Run(milliseconds(0));
  }

  void Shutdown() { m_node->Shutdown(); }

  bool Ended() const { return !m_io; }

  std::int64_t CallerPort() const { return m_settings.m_caller_port; }
  std::int64_t LinkPort() const { return m_settings.m_link_port; }

 private:
  Settings m_settings;
  std::unique_ptr<asio::io_context> m_io;
  std::unique_ptr<NodeDaemon> m_node;
};

/// Connects to a port of the node with a small receive buffer.
tcp::socket Connect(asio::io_context& io, std::int64_t port) {
  tcp::socket client(io, tcp::v4());
  client.set_option(asio::socket_base::receive_buffer_size(kClientBufferBytes));
  client.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
  return client;
}

/// A client of a node that reads only in ReceivedToTheEnd.
class SlowReader {
 public:
  explicit SlowReader(StoppingNode& node) : m_node(node), m_client(Connect(m_io, node.CallerPort())) {
    m_client.non_blocking(true);
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ec;
    asio::write(m_client, asio::buffer(bytes), ec);
  }

  /// Sends bytes as far as the node takes them.
  void SendSome(const std::string& bytes) {
    boost::system::error_code ec;
    m_client.write_some(asio::buffer(bytes), ec);
  }

  /// Reads to the end of the connection, while the node runs.
  std::string ReceivedToTheEnd() {
    std::string all;
    boost::system::error_code ec;
    while (!ec || ec == asio::error::would_block) {
      std::string part(kClientBufferBytes, '\0');
      part.resize(m_client.read_some(asio::buffer(part), ec));
      all += part;
      m_node.Run(milliseconds(1));
    }
    return all;
  }

 private:
  StoppingNode& m_node;
  asio::io_context m_io;
  tcp::socket m_client;
};

/// Another node with a link to the node. It runs only in its own functions.
class SlowPeer {
 public:
  explicit SlowPeer(StoppingNode& node)
      : m_node(node), m_link(std::make_shared<Link>(Connect(m_io, node.LinkPort()), false, nullptr)) {
    m_link->Start();
  }

  ~SlowPeer() {
    m_link->Close();
    RunReady();
  }

  /// Sends a query on a new stream. Its response is read as soon as the peer runs again.
  void Query() {
    const std::string path = std::string(wire::kQueryPath) + "status";
    asio::co_spawn(
        m_io,
        ReadResponse(m_link->Open(path, {{wire::kAuthField, wire::MakeAuthCode(kLinkKey, path)}}, false)),
        asio::detached);
    ++m_open_queries;
    RunReady();
  }

  void RunReady() {
    m_io.restart();
    m_io.poll();
  }

  /// Runs the peer and the node until every query has ended. Returns the number of whole responses.
  int WholeResponses() {
    while (m_open_queries > 0) {
      RunReady();
      m_node.Run(milliseconds(1));
    }
    return m_whole_responses;
  }

 private:
  asio::awaitable<void> ReadResponse(std::shared_ptr<LinkStream> stream) {
    try {
      co_await stream->WaitHeaders();
      if (!(co_await stream->ReadAll()).empty()) ++m_whole_responses;
    } catch (const LinkError&) {
      // Not a whole response.
    }
    --m_open_queries;
  }

  StoppingNode& m_node;
  asio::io_context m_io;
  std::shared_ptr<Link> m_link;
  int m_open_queries = 0;
  int m_whole_responses = 0;
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
  SlowReader client(node);
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += kRequest;
  client.Send(requests);
  node.RunReady();
  node.Shutdown();
  for (const int signal : row.m_signals) {
    std::raise(signal);
    node.Run(milliseconds(1));
  }
  node.Run(row.m_pause);
  client.Send(kRequest);
  node.Run(milliseconds(20));
  BOOST_TEST(CountResponses(client.ReceivedToTheEnd()) == kRequests);
}

BOOST_AUTO_TEST_CASE(NodeEndsOnlyWhenTheSystemsOfItsPeersHaveTheResponses) {
  StoppingNode node;
  SlowPeer peer(node);
  for (int i = 0; i < kRequests; ++i) peer.Query();
  node.RunReady();
  node.Shutdown();
  node.Run(milliseconds(200));
  BOOST_TEST(peer.WholeResponses() == kRequests);
}

BOOST_AUTO_TEST_CASE(NodeEndsAlthoughARefusedClientGoesOnSending) {
  StoppingNode node;
  SlowReader client(node);
  client.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000000\r\n\r\n");
  node.Run(milliseconds(20));
  node.Shutdown();
  const std::string more(65536, 'x');
  const auto grace_end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!node.Ended() && std::chrono::steady_clock::now() < grace_end) {
    client.SendSome(more);
    node.Step();
  }
  BOOST_TEST(node.Ended());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
