#include "fescueramp/net/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

/// Two ends of a link on loopback, each with an event loop of its own, so that one can be paused.
class LinkPair {
 public:
  LinkPair() {
    tcp::acceptor acceptor(m_server_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket client(m_client_io);
    client.connect(acceptor.local_endpoint());
    m_server = std::make_shared<Link>(acceptor.accept(), true, [this](std::shared_ptr<LinkStream> stream) {
      m_arrived.push_back(std::move(stream));
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

  /// Runs both ends.
  void Run(std::chrono::milliseconds span) {
    for (const auto end = std::chrono::steady_clock::now() + span; std::chrono::steady_clock::now() < end;) {
      m_client_io.restart();
      m_client_io.run_for(std::chrono::milliseconds(2));
      m_server_io.restart();
      m_server_io.run_for(std::chrono::milliseconds(2));
    }
  }

  /// Runs the client alone, until a condition holds.
  template <typename Condition>
  void PauseServerUntil(Condition condition) {
    while (!condition()) {
      m_client_io.restart();
      m_client_io.run_for(std::chrono::milliseconds(20));
    }
  }

  Link& Client() { return *m_client; }
  asio::io_context& ClientIo() { return m_client_io; }
  const std::vector<std::shared_ptr<LinkStream>>& Arrived() const { return m_arrived; }

 private:
  asio::io_context m_client_io;
  asio::io_context m_server_io;
  std::shared_ptr<Link> m_client;
  std::shared_ptr<Link> m_server;
  std::vector<std::shared_ptr<LinkStream>> m_arrived;
};

BOOST_AUTO_TEST_SUITE(link)

BOOST_AUTO_TEST_CASE(WorkThatRunsAtASilentNodeIsNotGivenUp) {
  LinkPair pair;
  const auto running = pair.Client().Open("/run", {}, false);
  const auto waiting = pair.Client().Open("/wait", {}, false);
  running->KeepOpenWhileUnresponsive();
  pair.Run(std::chrono::milliseconds(50));
  BOOST_REQUIRE(pair.Arrived().size() == 2U);
  // What has not begun goes elsewhere; what runs is waited for.
  pair.PauseServerUntil([&] { return waiting->Broken(); });
  BOOST_TEST(waiting->PeerUnresponsive());
  BOOST_TEST(!running->Broken());
  BOOST_TEST(pair.Client().Closed());
  BOOST_CHECK_THROW(pair.Client().Open("/new", {}, false), LinkError);
  // The node wakes and answers.
  pair.Arrived()[0]->SendHeaders({{":status", "200"}});
  pair.Arrived()[0]->Finish();
  bool answered = false;
  asio::co_spawn(
      pair.ClientIo(),
      [&]() -> asio::awaitable<void> {
        co_await running->WaitHeaders();
        answered = (co_await running->ReadAll()).empty();
      },
      asio::detached);
  pair.Run(std::chrono::milliseconds(400));
  BOOST_TEST(answered);
  BOOST_TEST(pair.Arrived()[1]->Broken());
}

BOOST_AUTO_TEST_CASE(SilentNodeWithoutRunningWorkIsGivenUp) {
  LinkPair pair;
  const auto waiting = pair.Client().Open("/wait", {}, false);
  pair.Run(std::chrono::milliseconds(50));
  pair.PauseServerUntil([&] { return waiting->Broken(); });
  BOOST_TEST(waiting->PeerUnresponsive());
  BOOST_TEST(pair.Client().Closed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
