#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <map>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_server.h"
#include "stand_ins/run_until_signal.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

constexpr std::chrono::milliseconds kDelay{60};  ///< Far above the delays between zones.

/// One direction or both in which nothing gets through.
struct Cut {
  bool m_to = false;                 ///< Towards the server behind the port.
  bool m_from = false;               ///< From the server to those who connected.
  std::int64_t m_silent_before = 0;  ///< Connections with a lower number are silent for good, both ways.
  bool m_delayed = false;            ///< Whether each part is held up for a moment.
};

/// Forwards one TCP port, and one UDP port of the same number, to a server on loopback.
class Forwarder {
 public:
  Forwarder(asio::io_context& io, std::uint16_t port, std::uint16_t tcp_target, std::uint16_t udp_target)
      : m_io(io),
        m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
        m_tcp_target(asio::ip::address_v4::loopback(), tcp_target),
        m_udp(io, udp::endpoint(asio::ip::address_v4::loopback(), port)),
        m_udp_target(asio::ip::address_v4::loopback(), udp_target) {
    asio::co_spawn(io, Accept(), asio::detached);
    if (udp_target != 0) asio::co_spawn(io, ForwardDatagrams(), asio::detached);
  }

  void SetCut(const std::string& name) {
    m_cut.m_to = name == "to" || name == "both";
    m_cut.m_from = name == "from" || name == "both";
    m_cut.m_delayed = name == "delay";
    if (name == "silent") m_cut.m_silent_before = m_next_connection;
    if (name == "reset") Reset();
  }

 private:
  struct Pair {
    explicit Pair(asio::io_context& io) : m_server(io) {}
    std::optional<tcp::socket> m_client;
    tcp::socket m_server;
    std::int64_t m_number = 0;
  };

  /// Resets every open connection, on both sides.
  void Reset() {
    for (const auto& weak : std::exchange(m_pairs, {})) {
      if (const auto pair = weak.lock()) {
        for (tcp::socket* socket : {&*pair->m_client, &pair->m_server}) {
          boost::system::error_code ignored;
          socket->set_option(asio::socket_base::linger(true, 0), ignored);
          socket->close(ignored);
        }
      }
    }
  }

  asio::awaitable<void> Accept() {
    while (true) {
      boost::system::error_code ec;
      tcp::socket client = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec) break;
      asio::co_spawn(m_io, Serve(std::move(client)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket client) {
    const auto pair = std::make_shared<Pair>(m_io);
    pair->m_client.emplace(std::move(client));
    pair->m_number = m_next_connection++;
    boost::system::error_code ec;
    co_await pair->m_server.async_connect(m_tcp_target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    pair->m_client->set_option(tcp::no_delay(true), ec);
    pair->m_server.set_option(tcp::no_delay(true), ec);
    std::erase_if(m_pairs, [](const auto& weak) { return weak.expired(); });
    m_pairs.push_back(pair);
    asio::co_spawn(m_io, Copy(pair, true), asio::detached);
    asio::co_spawn(m_io, Copy(pair, false), asio::detached);
  }

  bool IsCut(const Pair& pair, bool to_server) const {
    if (pair.m_number < m_cut.m_silent_before) return true;
    return to_server ? m_cut.m_to : m_cut.m_from;
  }

  /// Copies one direction. What comes while the direction is cut is lost for this connection, which therefore
  /// stays silent: bytes after a gap would not be what the sender sent.
  asio::awaitable<void> Copy(std::shared_ptr<Pair> pair, bool to_server) {
    tcp::socket& from = to_server ? *pair->m_client : pair->m_server;
    tcp::socket& to = to_server ? pair->m_server : *pair->m_client;
    std::string buffer(64 * 1024, '\0');
    bool silent = false;
    while (true) {
      boost::system::error_code ec;
      const std::size_t size =
          co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      silent = silent || IsCut(*pair, to_server);
      if (ec && silent) co_return;
      if (ec) break;
      if (silent) continue;
      if (m_cut.m_delayed) co_await Sleep(kDelay);
      co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                 asio::redirect_error(asio::use_awaitable, ec));
      if (ec) break;
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    from.close(ignored);
  }

  asio::awaitable<void> ForwardDatagrams() {
    std::string buffer(64 * 1024, '\0');
    while (true) {
      udp::endpoint sender;
      boost::system::error_code ec;
      const std::size_t size = co_await m_udp.async_receive_from(
          asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) break;
      if (ec || m_cut.m_to) continue;
      // The answer goes back through a socket of the sender's own.
      udp::socket& out = SocketFor(sender);
      out.send_to(asio::buffer(buffer.data(), size), m_udp_target, 0, ec);
    }
  }

  udp::socket& SocketFor(const udp::endpoint& sender) {
    const auto [found, added] = m_udp_sockets.try_emplace(sender, nullptr);
    if (added) {
      found->second = std::make_shared<udp::socket>(m_io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
      asio::co_spawn(m_io, ReturnDatagrams(found->second, sender), asio::detached);
    }
    return *found->second;
  }

  asio::awaitable<void> ReturnDatagrams(std::shared_ptr<udp::socket> socket, udp::endpoint sender) {
    std::string buffer(64 * 1024, '\0');
    while (true) {
      udp::endpoint server;
      boost::system::error_code ec;
      const std::size_t size = co_await socket->async_receive_from(
          asio::buffer(buffer), server, asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) break;
      if (ec || m_cut.m_from) continue;
      m_udp.send_to(asio::buffer(buffer.data(), size), sender, 0, ec);
    }
  }

  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_tcp_target;
  udp::socket m_udp;
  udp::endpoint m_udp_target;
  std::map<udp::endpoint, std::shared_ptr<udp::socket>> m_udp_sockets;
  Cut m_cut;
  std::int64_t m_next_connection = 0;
  std::vector<std::weak_ptr<Pair>> m_pairs;  ///< Connections that may be open.
};

int Run(std::uint16_t control_port, const std::vector<std::string>& maps) {
  asio::io_context io(1);
  std::map<std::int64_t, std::unique_ptr<Forwarder>> forwarders;
  for (const auto& map : maps) {
    int port = 0;
    int tcp_target = 0;
    int udp_target = 0;
    if (std::sscanf(map.c_str(), "%d:%d:%d", &port, &tcp_target, &udp_target) != 3) {
      throw std::runtime_error("\"" + map + "\" is not PORT:TCP:UDP");
    }
    forwarders[port] = std::make_unique<Forwarder>(io, static_cast<std::uint16_t>(port),
                                                   static_cast<std::uint16_t>(tcp_target),
                                                   static_cast<std::uint16_t>(udp_target));
  }
  HttpServerSettings control;
  control.m_port = control_port;
  const HttpServer server(io.get_executor(), control,
                          [&](std::shared_ptr<HttpExchange> exchange) -> asio::awaitable<void> {
                            const std::string body = co_await exchange->ReadBody();
                            const json::value order = ParseJson(body);
                            const auto port = FromJson<std::int64_t>(order.at("port"));
                            const auto cut = FromJson<std::string>(order.at("cut"));
                            for (auto& [own_port, forwarder] : forwarders) {
                              if (port == own_port || port == 0) forwarder->SetCut(cut);
                            }
                            std::vector<HeaderField> none;
                            co_await exchange->Send(200, std::move(none), "done\n");
                          });
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for links on loopback that can be cut in one direction or go silent."};
  std::uint16_t control_port = 0;
  std::vector<std::string> maps;
  app.add_option("--control-port", control_port, "TCP port for orders")->required();
  app.add_option("maps", maps, "PORT:TCP:UDP, the ports to forward to; UDP 0 for none")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    return fescueramp::Run(control_port, maps);
  } catch (const std::exception& error) {
    std::cerr << "link_cutter: " << error.what() << "\n";
    return 1;
  }
}
