#include "fescueramp/net/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t kResponseBytes = 150'000;         ///< More than a link reads at once.
constexpr int kWholeResponseBufferBytes = 1024 * 1024;  ///< Receive buffer that holds the response.

/// Both ends of a link on loopback. Each has its own event loop, so that the server can be paused.
class LinkPair {
 public:
  LinkPair() {
    tcp::acceptor acceptor(m_server_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket client(m_client_io);
    client.connect(acceptor.local_endpoint());
    m_server = std::make_shared<Link>(acceptor.accept(), true, [this](std::shared_ptr<LinkStream> stream) {
      m_accepted_streams.push_back(std::move(stream));
    });
    m_client = std::make_shared<Link>(std::move(client), false, nullptr);
    m_server->Start();
    m_client->Start();
  }

  ~LinkPair() {
    m_client->Close();
    m_server->Close();
    Run(std::chrono::milliseconds(300));
  }

  /// Runs both ends for a time span.
  void Run(std::chrono::milliseconds span) {
    for (const auto end = std::chrono::steady_clock::now() + span; std::chrono::steady_clock::now() < end;) {
      m_client_io.restart();
      m_client_io.run_for(std::chrono::milliseconds(2));
      m_server_io.restart();
      m_server_io.run_for(std::chrono::milliseconds(2));
    }
  }

  /// Runs only the client until a condition holds.
  template <typename Condition>
  void RunClientUntil(Condition condition) {
    while (!condition()) {
      m_client_io.restart();
      m_client_io.run_for(std::chrono::milliseconds(20));
    }
  }

  Link& Client() { return *m_client; }
  asio::io_context& ClientIo() { return m_client_io; }
  const std::vector<std::shared_ptr<LinkStream>>& AcceptedStreams() const { return m_accepted_streams; }

 private:
  asio::io_context m_client_io;
  asio::io_context m_server_io;
  std::shared_ptr<Link> m_client;
  std::shared_ptr<Link> m_server;
  std::vector<std::shared_ptr<LinkStream>> m_accepted_streams;
};

/// Server of one link, which responds to one request and then resets the connection.
class RespondingServer {
 public:
  /// Connects a client's socket to the server.
  tcp::socket Accept(tcp::socket client) {
    tcp::acceptor acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    client.connect(acceptor.local_endpoint());
    tcp::socket socket = acceptor.accept();
    // The system resets the connection when it is closed, as it does when data is unread.
    socket.set_option(asio::socket_base::linger(true, 0));
    m_link = std::make_shared<Link>(std::move(socket), true, [this](std::shared_ptr<LinkStream> stream) {
      asio::co_spawn(m_io, Respond(std::move(stream)), asio::detached);
    });
    m_link->Start();
    return client;
  }

  /// Responds, and resets the connection when the client's system has the response.
  void RespondAndReset() {
    while (!m_responded || m_link->HasUndeliveredBytes()) m_io.run_one_for(std::chrono::milliseconds(1));
    m_link->Close();
    m_io.restart();
    m_io.run();
  }

 private:
  asio::awaitable<void> Respond(std::shared_ptr<LinkStream> stream) {
    stream->SendHeaders({{":status", "200"}});
    co_await stream->Write(std::string(kResponseBytes, 'x'));
    stream->Finish();
    co_await stream->WaitWritten();
    m_responded = true;
  }

  asio::io_context m_io;
  std::shared_ptr<Link> m_link;
  bool m_responded = false;
};

BOOST_AUTO_TEST_SUITE(link)

BOOST_AUTO_TEST_CASE(RunningWorkAtUnresponsiveNodeIsKept) {
  LinkPair pair;
  const auto running = pair.Client().Open("/run", {}, false);
  const auto waiting = pair.Client().Open("/wait", {}, false);
  running->KeepOpenWhileUnresponsive();
  pair.Run(std::chrono::milliseconds(50));
  BOOST_REQUIRE(pair.AcceptedStreams().size() == 2U);
  // The stream whose work has not started is cancelled; the one whose work runs stays open.
  pair.RunClientUntil([&] { return waiting->Broken(); });
  BOOST_TEST(waiting->PeerUnresponsive());
  BOOST_TEST(!running->Broken());
  BOOST_TEST(pair.Client().Closed());
  BOOST_CHECK_THROW(pair.Client().Open("/new", {}, false), LinkError);
  // The server resumes and responds.
  pair.AcceptedStreams()[0]->SendHeaders({{":status", "200"}});
  pair.AcceptedStreams()[0]->Finish();
  bool responded = false;
  asio::co_spawn(
      pair.ClientIo(),
      [&]() -> asio::awaitable<void> {
        co_await running->WaitHeaders();
        responded = (co_await running->ReadAll()).empty();
      },
      asio::detached);
  pair.Run(std::chrono::milliseconds(400));
  BOOST_TEST(responded);
  BOOST_TEST(pair.AcceptedStreams()[1]->Broken());
}

BOOST_AUTO_TEST_CASE(LinkToUnresponsiveNodeWithoutRunningWorkIsClosed) {
  LinkPair pair;
  const auto waiting = pair.Client().Open("/wait", {}, false);
  pair.Run(std::chrono::milliseconds(50));
  pair.RunClientUntil([&] { return waiting->Broken(); });
  BOOST_TEST(waiting->PeerUnresponsive());
  BOOST_TEST(pair.Client().Closed());
}

BOOST_AUTO_TEST_CASE(ResponseThatHasArrivedIsReadAfterAFailedWrite) {
  RespondingServer server;
  asio::io_context io;
  tcp::socket socket(io, tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(kWholeResponseBufferBytes));
  const auto client = std::make_shared<Link>(server.Accept(std::move(socket)), false, nullptr);
  client->Start();
  const auto stream = client->Open("/run", {}, false);
  io.poll();
  server.RespondAndReset();
  const auto not_sent = client->Open("/not-sent", {}, false);
  std::size_t received = 0;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await stream->WaitHeaders();
        received = (co_await stream->ReadAll()).size();
      },
      [](std::exception_ptr) {});
  io.restart();
  io.run();
  BOOST_TEST(received == kResponseBytes);
  BOOST_TEST(not_sent->Broken());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
