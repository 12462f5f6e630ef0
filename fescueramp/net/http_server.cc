#include "fescueramp/net/http_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "fescueramp/net/server_connection.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);  ///< Wait after a failed accept.
constexpr int kBacklog = 4096;

}  // namespace

asio::awaitable<std::string> ReadWholeBody(HttpExchange& exchange) {
  std::string body;
  for (std::string part = co_await exchange.ReadBody(); !part.empty(); part = co_await exchange.ReadBody())
    body += part;
  co_return body;
}

struct HttpServer::State {
  State(const asio::any_io_executor& executor, HttpServerSettings server_settings, Handler server_handler)
      : m_acceptor(executor), m_settings(std::move(server_settings)), m_handler(std::move(server_handler)) {}

  tcp::acceptor m_acceptor;
  HttpServerSettings m_settings;
  Handler m_handler;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  std::uint64_t m_last_connection = 0;  ///< Number of the connection that was accepted last.
  bool m_stopping = false;
  bool m_draining = false;
};

HttpServer::HttpServer(const asio::any_io_executor& executor, HttpServerSettings settings, Handler handler)
    : m_state(std::make_shared<State>(executor, std::move(settings), std::move(handler))) {
  const tcp::endpoint endpoint(asio::ip::make_address(m_state->m_settings.m_address),
                               m_state->m_settings.m_port);
  m_state->m_acceptor.open(endpoint.protocol());
  m_state->m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_state->m_acceptor.bind(endpoint);
  m_state->m_acceptor.listen(kBacklog);
  asio::co_spawn(executor, AcceptLoop(m_state), asio::detached);
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  if (std::exchange(m_state->m_stopping, true)) return;
  AcceptWaiting(m_state);
  boost::system::error_code ec;
  m_state->m_acceptor.close(ec);
}

void HttpServer::AcceptWaiting(const std::shared_ptr<State>& state) {
  boost::system::error_code ec;
  state->m_acceptor.non_blocking(true, ec);
  // Without this option, accept waits when a client has given up its connection.
  state->m_acceptor.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  while (!ec || ec == asio::error::connection_aborted) {
    tcp::socket socket = state->m_acceptor.accept(ec);
    if (!ec) Open(state, std::move(socket));
  }
}

void HttpServer::Drain() {
  m_state->m_draining = true;
  for (const auto& connection : m_state->m_connections) connection->Drain();
}

void HttpServer::StopAccepting() {
  const auto connections = m_state->m_connections;
  for (const auto& connection : connections) connection->StopAccepting();
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  static_cast<HttpServerLimits&>(m_state->m_settings) = limits;
}

std::uint16_t HttpServer::Port() const { return m_state->m_acceptor.local_endpoint().port(); }

std::size_t HttpServer::Connections() const { return m_state->m_connections.size(); }

bool HttpServer::Unfinished() const {
  return std::any_of(m_state->m_connections.begin(), m_state->m_connections.end(),
                     [](const auto& connection) { return connection->Unfinished(); });
}

asio::awaitable<void> HttpServer::AcceptLoop(std::shared_ptr<State> state) {
  while (!state->m_stopping) {
    boost::system::error_code ec;
    tcp::socket socket =
        co_await state->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) break;
    if (ec) {
      // Most likely the process is out of file descriptors; wait until some are closed.
      co_await Sleep(kAcceptRetryDelay);
      continue;
    }
    Open(state, std::move(socket));
  }
}

void HttpServer::Open(const std::shared_ptr<State>& state, tcp::socket socket) {
  if (state->m_connections.size() >= state->m_settings.m_max_connections) return;
  const auto executor = socket.get_executor();
  const auto connection = std::make_shared<ServerConnection>(std::move(socket), state->m_settings,
                                                             state->m_handler, ++state->m_last_connection);
  if (state->m_draining) connection->Drain();
  state->m_connections.insert(connection);
  asio::co_spawn(executor, Serve(state, connection), asio::detached);
}

asio::awaitable<void> HttpServer::Serve(std::shared_ptr<State> state,
                                        std::shared_ptr<ServerConnection> connection) {
  co_await connection->Run();
  state->m_connections.erase(connection);
  if (state->m_settings.m_connection_ended) state->m_settings.m_connection_ended(connection->Summary());
}

}  // namespace fescueramp
