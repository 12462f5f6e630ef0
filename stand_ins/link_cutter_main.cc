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

/// Delay added by the "delay" fault, far above the delays between zones.
constexpr std::chrono::milliseconds kAddedDelay{60};

/// Faults simulated on the connections and datagrams of one forwarded port.
struct LinkFaults {
  bool m_drop_to_server = false;          ///< Drops traffic to the server.
  bool m_drop_to_client = false;          ///< Drops traffic to the clients.
  std::int64_t m_unresponsive_below = 0;  ///< Connections with a lower number drop all bytes both ways.
  bool m_add_delay = false;               ///< Adds kAddedDelay before each write to a TCP connection.
};

/// Forwards a TCP port and the UDP port of the same number to a server on loopback. Forwards no datagrams if
/// the UDP target is 0.
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

  void SetFault(const std::string& name) {
    m_faults.m_drop_to_server = name == "to" || name == "both";
    m_faults.m_drop_to_client = name == "from" || name == "both";
    m_faults.m_add_delay = name == "delay";
    if (name == "silent") m_faults.m_unresponsive_below = m_next_connection;
    if (name == "reset") ResetConnections();
  }

 private:
  struct ForwardedConnection {
    explicit ForwardedConnection(asio::io_context& io) : m_server(io) {}
    std::optional<tcp::socket> m_client;
    tcp::socket m_server;
    std::int64_t m_connection_number = 0;
  };

  /// Resets every open connection on both sides.
  void ResetConnections() {
    for (const auto& weak : std::exchange(m_connections, {})) {
      if (const auto connection = weak.lock()) {
        for (tcp::socket* socket : {&*connection->m_client, &connection->m_server}) {
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
    const auto connection = std::make_shared<ForwardedConnection>(m_io);
    connection->m_client.emplace(std::move(client));
    connection->m_connection_number = m_next_connection++;
    boost::system::error_code ec;
    co_await connection->m_server.async_connect(m_tcp_target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    connection->m_client->set_option(tcp::no_delay(true), ec);
    connection->m_server.set_option(tcp::no_delay(true), ec);
    std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
    m_connections.push_back(connection);
    asio::co_spawn(m_io, ForwardBytes(connection, true), asio::detached);
    asio::co_spawn(m_io, ForwardBytes(connection, false), asio::detached);
  }

  bool DropsBytes(const ForwardedConnection& connection, bool to_server) const {
    if (connection.m_connection_number < m_faults.m_unresponsive_below) return true;
    return to_server ? m_faults.m_drop_to_server : m_faults.m_drop_to_client;
  }

  /// Forwards one direction of a connection. Once bytes are dropped, the direction forwards nothing more,
  /// because bytes after a gap would corrupt the stream.
  asio::awaitable<void> ForwardBytes(std::shared_ptr<ForwardedConnection> connection, bool to_server) {
    tcp::socket& from = to_server ? *connection->m_client : connection->m_server;
    tcp::socket& to = to_server ? connection->m_server : *connection->m_client;
    std::string buffer(64 * 1024, '\0');
    bool dropping = false;
    while (true) {
      boost::system::error_code ec;
      const std::size_t size =
          co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      dropping = dropping || DropsBytes(*connection, to_server);
      if (ec && dropping) co_return;
      if (ec) break;
      if (dropping) continue;
      if (m_faults.m_add_delay) co_await Sleep(kAddedDelay);
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
      if (ec || m_faults.m_drop_to_server) continue;
      // Each sender has its own socket, so that replies of the server can be matched to it.
      udp::socket& upstream = SocketFor(sender);
      upstream.send_to(asio::buffer(buffer.data(), size), m_udp_target, 0, ec);
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
      if (ec || m_faults.m_drop_to_client) continue;
      m_udp.send_to(asio::buffer(buffer.data(), size), sender, 0, ec);
    }
  }

  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_tcp_target;
  udp::socket m_udp;
  udp::endpoint m_udp_target;
  std::map<udp::endpoint, std::shared_ptr<udp::socket>> m_udp_sockets;
  LinkFaults m_faults;
  std::int64_t m_next_connection = 0;
  std::vector<std::weak_ptr<ForwardedConnection>> m_connections;  ///< May contain expired entries.
};

int Run(std::uint16_t control_port, const std::vector<std::string>& mappings) {
  asio::io_context io(1);
  std::map<std::int64_t, std::unique_ptr<Forwarder>> forwarders;
  for (const auto& mapping : mappings) {
    int port = 0;
    int tcp_target = 0;
    int udp_target = 0;
    if (std::sscanf(mapping.c_str(), "%d:%d:%d", &port, &tcp_target, &udp_target) != 3) {
      throw std::runtime_error("\"" + mapping + "\" is not PORT:TCP:UDP");
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
                            const json::value command = ParseJson(body);
                            const auto port = FromJson<std::int64_t>(command.at("port"));
                            const auto fault = FromJson<std::string>(command.at("cut"));
                            for (auto& [listen_port, forwarder] : forwarders) {
                              if (port == listen_port || port == 0) forwarder->SetFault(fault);
                            }
                            std::vector<HeaderField> no_headers;
                            co_await exchange->Send(200, std::move(no_headers), "done\n");
                          });
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main(int argc, char** argv) {
  CLI::App app{"Forwards loopback ports and simulates network faults on their connections and datagrams."};
  std::uint16_t control_port = 0;
  std::vector<std::string> mappings;
  app.add_option("--control-port", control_port, "TCP port for control commands")->required();
  app.add_option("maps", mappings, "PORT:TCP:UDP: port to listen on and target ports; UDP 0 for none")
      ->required();
  CLI11_PARSE(app, argc, argv);
  try {
    return fescueramp::Run(control_port, mappings);
  } catch (const std::exception& error) {
    std::cerr << "link_cutter: " << error.what() << "\n";
    return 1;
  }
}
